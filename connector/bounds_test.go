package connector_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/connector"
)

// A VM whose share is below one connection must close idle connections soon, so
// that other VMs can connect.
func TestOnlyVMsWithAShareKeepIdleConnections(t *testing.T) {
	g := NewWithT(t)
	g.Expect(connector.NewBounds(21, 1.75).IdleTimeout).To(Equal(15 * time.Second))
	g.Expect(connector.NewBounds(74, 0.7).IdleTimeout).To(Equal(time.Second))
	g.Expect(connector.NewBounds(74, 0.7).Share).To(BeZero())
	g.Expect(connector.NewBounds(74, 8.2)).To(Equal(connector.Bounds{Share: 8, Max: 74, IdleTimeout: 15 * time.Second}))
}
