package configurator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// Repository stores the proposals and the accepted changes of the configuration.
// Operators propose, review and accept changes through it.
type Repository struct {
	store Store
}

// NewRepository returns a Repository that uses the store.
func NewRepository(store Store) *Repository {
	return &Repository{store: store}
}

// storeUnavailable returns an error with code StoreUnavailable that names the
// failed operation.
func storeUnavailable(err error, operation string) error {
	return coder.New(coder.StoreUnavailable, operation+": "+eris.Cause(err).Error())
}

// Load reads the snapshot and all accepted changes. It returns the current state
// and the changes.
func (b *Repository) Load(ctx context.Context) (State, []Change, error) {
	var s State
	o, err := b.store.Get(ctx, SnapshotKey)
	switch {
	case errors.Is(err, keeper.ErrNotFound):
	case err != nil:
		return State{}, nil, storeUnavailable(err, "reading the snapshot")
	default:
		if err := json.Unmarshal(o.Value, &s); err != nil {
			return State{}, nil, eris.Wrap(err, "decoding the snapshot")
		}
	}
	changes, err := b.History(ctx)
	if err != nil {
		return State{}, nil, err
	}
	for _, c := range changes {
		if c.Generation != s.Generation+1 {
			continue
		}
		if s, err = s.Apply(c); err != nil {
			return State{}, nil, eris.Wrapf(err, "applying generation %d", c.Generation)
		}
	}
	return s, changes, nil
}

// History reads the accepted changes in ascending order of generation.
func (b *Repository) History(ctx context.Context) ([]Change, error) {
	page, err := b.store.List(ctx, ChangePrefix)
	if err != nil {
		return nil, storeUnavailable(err, "reading the changes")
	}
	changes := make([]Change, 0, len(page.Objects))
	for _, o := range page.Objects {
		c, err := DecodeChange(o.Value)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// DecodeChange decodes a change from its encoding in the store.
func DecodeChange(value []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(value, &c)
	return c, eris.Wrap(err, "decoding a change")
}

// Propose validates a change against the current generation and stores it as a
// proposal.
func (b *Repository) Propose(ctx context.Context, c Change) (Change, error) {
	s, _, err := b.Load(ctx)
	if err != nil {
		return Change{}, err
	}
	c.Base = s.Generation
	if _, err := s.Apply(c); err != nil {
		return Change{}, err
	}
	value, err := json.Marshal(c)
	if err != nil {
		return Change{}, eris.Wrap(err, "encoding the proposal")
	}
	_, err = b.store.Put(ctx, ProposalPrefix+c.ID, value, keeper.Condition{Absent: true})
	if err != nil && !b.isStored(ctx, ProposalPrefix+c.ID, c.ID) {
		return Change{}, storeUnavailable(err, "storing the proposal")
	}
	return c, nil
}

// isStored reports whether a write whose response was lost took effect: the
// object under the key carries the proposal's identifier.
func (b *Repository) isStored(ctx context.Context, key, id string) bool {
	o, err := b.store.Get(ctx, key)
	if err != nil {
		return false
	}
	c, err := DecodeChange(o.Value)
	return err == nil && c.ID == id
}

// Proposal reads a proposal.
func (b *Repository) Proposal(ctx context.Context, id string) (Change, error) {
	o, err := b.store.Get(ctx, ProposalPrefix+id)
	if errors.Is(err, keeper.ErrNotFound) {
		return Change{}, coder.New(coder.ProposalUnknown, "no proposal "+id)
	}
	if err != nil {
		return Change{}, storeUnavailable(err, "reading the proposal")
	}
	return DecodeChange(o.Value)
}

// Accept accepts a proposal as the next generation.
//
// It is idempotent by the proposal's identifier. If another change was accepted
// after the base, the error has code ProposalConflict and lists the edits
// accepted since.
func (b *Repository) Accept(ctx context.Context, id, accepter string, at time.Time) (Change, error) {
	c, err := b.Proposal(ctx, id)
	if err != nil {
		return Change{}, err
	}
	s, changes, err := b.Load(ctx)
	if err != nil {
		return Change{}, err
	}
	for _, accepted := range changes {
		if accepted.ID == id {
			return accepted, nil
		}
	}
	if s.Generation != c.Base {
		return Change{}, conflictError(c, s.Generation, changes)
	}
	plan, err := Preview(s, c, FleetStatus{})
	if err != nil {
		return Change{}, err
	}
	if err := plan.BlockingError(); err != nil {
		return Change{}, err
	}
	c.Generation = s.Generation + 1
	c.Accepter = accepter
	c.Accepted = at
	return b.commit(ctx, c)
}

// commit writes an accepted change under the key of its generation. After a
// failed write it reads the key back to find out which change was written.
func (b *Repository) commit(ctx context.Context, c Change) (Change, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return Change{}, eris.Wrap(err, "encoding the change")
	}
	_, err = b.store.Put(ctx, changeKey(c.Generation), value, keeper.Condition{Absent: true})
	if err == nil {
		return c, nil
	}
	o, readErr := b.store.Get(ctx, changeKey(c.Generation))
	switch {
	case readErr == nil:
	case errors.Is(readErr, keeper.ErrNotFound):
		return Change{}, coder.NewUnknown(coder.AcceptUnknown, "the write of the accepted change failed; it is not in the store yet but may still take effect; accept the proposal again")
	default:
		return Change{}, coder.NewUnknown(coder.AcceptUnknown, "the write of the accepted change failed and could not be read back: "+eris.Cause(readErr).Error())
	}
	winner, err := DecodeChange(o.Value)
	if err != nil {
		return Change{}, err
	}
	if winner.ID == c.ID {
		return winner, nil
	}
	return Change{}, conflictError(c, winner.Generation, []Change{winner})
}

// conflictError returns an error with code ProposalConflict that lists the edits
// accepted after the base of a proposal.
func conflictError(c Change, current uint64, changes []Change) error {
	message := fmt.Sprintf("proposal %s is based on generation %d, the current one is %d", c.ID, c.Base, current)
	for _, other := range changes {
		if other.Generation <= c.Base {
			continue
		}
		for _, e := range other.Edits {
			message += fmt.Sprintf("; generation %d by %s: %s", other.Generation, other.Proposer, e.Summary())
		}
	}
	return coder.New(coder.ProposalConflict, message)
}
