package cmd

import (
	"github.com/marigoldgauge/marigoldgauge/authenticator"
	"github.com/marigoldgauge/marigoldgauge/configurator"
)

// keyCmd issues or withdraws keys.
type keyCmd struct {
	Issue    keyIssueCmd    `cmd:"" help:"Issue a key to an organisation."`
	Withdraw keyWithdrawCmd `cmd:"" help:"Withdraw a key."`
}

// keyIssueCmd issues a key.
type keyIssueCmd struct {
	Organisation string `arg:"" help:"Organisation that gets the key."`
	ID           string `arg:"" help:"Identifier of the key; callers send it as their user name."`
}

// issuedKey is a new key, for the operator to pass on to the organisation. The key
// itself is not stored, so it is shown only once.
type issuedKey struct {
	Organisation string `json:"organisation"`
	KeyID        string `json:"key-id"`
	Key          string `json:"key"`
	Generation   uint64 `json:"generation"`
}

// Run issues the key.
func (c *keyIssueCmd) Run(s *session) error {
	secret := authenticator.NewSecret()
	key, err := authenticator.Verifier(c.ID, secret)
	if err != nil {
		return err
	}
	change, err := s.proposeAndAccept(newID(), "issue key "+c.ID, []configurator.Edit{{Kind: configurator.AddKey, Object: c.Organisation, Key: &key}})
	if err != nil {
		return err
	}
	out := issuedKey{Organisation: c.Organisation, KeyID: c.ID, Key: secret, Generation: change.Generation}
	return s.printResult(out, func() {
		s.printLine("key-id=%s key=%s organisation=%s generation=%d", out.KeyID, out.Key, out.Organisation, out.Generation)
	})
}

// keyWithdrawCmd withdraws a key.
type keyWithdrawCmd struct {
	Organisation string `arg:"" help:"Organisation that holds the key."`
	ID           string `arg:"" help:"Identifier of the key."`
}

// Run withdraws the key.
func (c *keyWithdrawCmd) Run(s *session) error {
	change, err := s.proposeAndAccept(newID(), "withdraw key "+c.ID, []configurator.Edit{{Kind: configurator.WithdrawKey, Object: c.Organisation, Key: &configurator.Key{ID: c.ID}}})
	if err != nil {
		return err
	}
	return s.printResult(change, func() { s.printLine("key-id=%s state=withdrawn generation=%d", c.ID, change.Generation) })
}
