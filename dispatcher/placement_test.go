package dispatcher

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

func TestPositionToRead(t *testing.T) {
	at := func(term, offset uint64) tracker.Position { return tracker.Position{Term: term, Offset: offset} }
	tests := []struct {
		name               string
		kind               cataloguer.RouteKind
		session, watermark tracker.Position
		term               uint64
		want               tracker.Position
	}{
		{"session commit is later than the watermark", cataloguer.ReadYourWrites, at(1, 9), at(1, 5), 1, at(1, 9)},
		{"session commit is earlier than the watermark", cataloguer.ReadYourWrites, at(1, 3), at(1, 5), 1, at(1, 5)},
		{"session without a commit", cataloguer.ReadYourWrites, at(0, 0), at(1, 5), 1, at(1, 5)},
		{"session commit of a new term, watermark of the previous term", cataloguer.ReadYourWrites, at(2, 120), at(1, 86), 2, at(2, 120)},
		{"session commit of an earlier term was rolled back", cataloguer.ReadYourWrites, at(1, 87), at(1, 86), 2, at(1, 86)},
		{"other routes ignore the session", cataloguer.BoundedStaleness, at(1, 9), at(1, 5), 1, at(1, 5)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := Unit{Route: cataloguer.Route{Kind: tt.kind}, LastCommit: tt.session}
			NewWithT(t).Expect(positionToRead(u, tt.watermark, tt.term)).To(Equal(tt.want))
		})
	}
}
