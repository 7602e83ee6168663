package connector_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/connector"
)

// After an outage of all VMs an instance still counts their idle connections.
// The VMs that come back find room for as many statements as it runs at a time.
func TestSharesLeaveRoomForVMsThatComeBack(t *testing.T) {
	const slots = 3
	tests := []struct {
		name        string
		most, vms   int
		share, room int
	}{
		{"campusweg", 21, 8, 1, 2 * slots},
		{"lepidlo", 46, 9, 3, 2 * slots},
		{"lepidlo grown", 255, 76, 2, 2 * slots},
		{"one VM", 9, 1, 6, slots},
		{"no VM is known yet", 9, 0, 6, slots},
		{"more VMs than connections", 10, 40, 1, -30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			b := connector.Divide(tt.most, tt.vms)
			g.Expect(b.Most).To(Equal(tt.most))
			g.Expect(b.Share).To(Equal(tt.share))
			g.Expect(tt.most - max(tt.vms, 1)*b.Share).To(BeNumerically(">=", tt.room))
		})
	}
}

// With more VMs than connections each still may hold one, so none of them keeps
// it idle for long.
func TestIdleConnectionsAreKeptByFewVMsOnly(t *testing.T) {
	g := NewWithT(t)
	g.Expect(connector.Divide(21, 8).IdleFor).To(Equal(15 * time.Second))
	g.Expect(connector.Divide(74, 71).IdleFor).To(Equal(time.Second))
}
