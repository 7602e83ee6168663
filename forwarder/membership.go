package forwarder

import (
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// Membership provides the roster of VMs and tracks unresponsive VMs.
type Membership interface {
	// Roster returns the current roster.
	Roster() registrar.Roster
	// Suspect marks a VM as unresponsive for some time.
	Suspect(id string)
	// IsSuspected reports whether a VM is marked as unresponsive.
	IsSuspected(id string) bool
}
