package authorizer

import "github.com/marigoldgauge/marigoldgauge/cataloguer"

// Claim states what permitted a unit of work when it was admitted.
type Claim struct {
	// Key is the API key that the client presented.
	Key string `cbor:"1,keyasint,omitempty"`
	// Organisation is the organisation that the key belonged to, on whose behalf the unit runs.
	Organisation string `cbor:"2,keyasint,omitempty"`
	// Public reports whether the route admits clients without a key.
	Public bool `cbor:"3,keyasint,omitempty"`
	// Version is the version of the configuration in which the claim was checked.
	Version uint64 `cbor:"4,keyasint,omitempty"`
}

// heldBy reports whether a configuration confirms the claim. An earlier configuration than the
// one in which it was checked proves nothing: the key may be newer.
func (c Claim) heldBy(catalogue *cataloguer.Catalogue) bool {
	if catalogue == nil || catalogue.Version < c.Version {
		return true
	}
	o, ok := catalogue.OrganisationOf(c.Key)
	if !ok {
		return c.Public
	}
	return o.Name == c.Organisation
}
