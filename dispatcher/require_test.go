package dispatcher

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

func TestRequire(t *testing.T) {
	at := func(term, offset uint64) tracker.Position { return tracker.Position{Term: term, Offset: offset} }
	tests := []struct {
		name               string
		kind               cataloguer.RouteKind
		session, watermark tracker.Position
		term               uint64
		want               tracker.Position
	}{
		{"own commit is later", cataloguer.ReadYourWrites, at(1, 9), at(1, 5), 1, at(1, 9)},
		{"own commit is earlier", cataloguer.ReadYourWrites, at(1, 3), at(1, 5), 1, at(1, 5)},
		{"no own commit", cataloguer.ReadYourWrites, at(0, 0), at(1, 5), 1, at(1, 5)},
		{"first commits of a term, watermark of the last one", cataloguer.ReadYourWrites, at(2, 120), at(1, 86), 2, at(2, 120)},
		{"own commit of an earlier term was rolled back", cataloguer.ReadYourWrites, at(1, 87), at(1, 86), 2, at(1, 86)},
		{"other routes do not follow the session", cataloguer.BoundedStaleness, at(1, 9), at(1, 5), 1, at(1, 5)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := Unit{Route: cataloguer.Route{Kind: tt.kind}, Session: tt.session}
			NewWithT(t).Expect(positionToRead(u, tt.watermark, tt.term)).To(Equal(tt.want))
		})
	}
}
