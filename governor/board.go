package governor

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

// Board is where operators propose, review and accept changes.
type Board struct {
	store Store
}

// NewBoard returns a Board on a store.
func NewBoard(store Store) *Board {
	return &Board{store: store}
}

// unavailable returns an error with code StoreUnavailable.
func unavailable(err error, doing string) error {
	return coder.New(coder.StoreUnavailable, doing+": "+eris.Cause(err).Error())
}

// Load reads the current state and the accepted changes after the snapshot.
func (b *Board) Load(ctx context.Context) (State, []Change, error) {
	var s State
	o, err := b.store.Get(ctx, SnapshotKey)
	switch {
	case errors.Is(err, keeper.ErrNotFound):
	case err != nil:
		return State{}, nil, unavailable(err, "reading the snapshot")
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
func (b *Board) History(ctx context.Context) ([]Change, error) {
	page, err := b.store.List(ctx, ChangePrefix)
	if err != nil {
		return nil, unavailable(err, "reading the changes")
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

// DecodeChange reads a change as it stands in the store.
func DecodeChange(value []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(value, &c)
	return c, eris.Wrap(err, "decoding a change")
}

// Propose stores a proposal on the current generation after checking it.
func (b *Board) Propose(ctx context.Context, c Change) (Change, error) {
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
	if err != nil && !b.isMine(ctx, ProposalPrefix+c.ID, c.ID) {
		return Change{}, unavailable(err, "storing the proposal")
	}
	return c, nil
}

// isMine reads an object again after a lost answer and looks for the proposal's identifier.
func (b *Board) isMine(ctx context.Context, key, id string) bool {
	o, err := b.store.Get(ctx, key)
	if err != nil {
		return false
	}
	c, err := DecodeChange(o.Value)
	return err == nil && c.ID == id
}

// Proposal reads a proposal.
func (b *Board) Proposal(ctx context.Context, id string) (Change, error) {
	o, err := b.store.Get(ctx, ProposalPrefix+id)
	if errors.Is(err, keeper.ErrNotFound) {
		return Change{}, coder.New(coder.ProposalUnknown, "no proposal "+id)
	}
	if err != nil {
		return Change{}, unavailable(err, "reading the proposal")
	}
	return DecodeChange(o.Value)
}

// Accept makes a proposal the next generation.
//
// It is idempotent by the proposal's identifier. When another change was
// accepted after the base, the error has code ProposalConflict and names the
// difference.
func (b *Board) Accept(ctx context.Context, id, accepter string, at time.Time) (Change, error) {
	c, err := b.Proposal(ctx, id)
	if err != nil {
		return Change{}, err
	}
	s, changes, err := b.Load(ctx)
	if err != nil {
		return Change{}, err
	}
	for _, done := range changes {
		if done.ID == id {
			return done, nil
		}
	}
	if s.Generation != c.Base {
		return Change{}, conflict(c, s.Generation, changes)
	}
	plan, err := Preview(s, c, Facts{})
	if err != nil {
		return Change{}, err
	}
	if err := plan.Blocked(); err != nil {
		return Change{}, err
	}
	c.Generation = s.Generation + 1
	c.Accepter = accepter
	c.Accepted = at
	return b.commit(ctx, c)
}

// commit writes an accepted change under the key of its generation.
func (b *Board) commit(ctx context.Context, c Change) (Change, error) {
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
		return Change{}, coder.NewUnknown(coder.AcceptUnknown, "the acceptance is not in the store yet and may still take effect; repeat it")
	default:
		return Change{}, coder.NewUnknown(coder.AcceptUnknown, "the answer was lost and the store cannot be read: "+eris.Cause(readErr).Error())
	}
	winner, err := DecodeChange(o.Value)
	if err != nil {
		return Change{}, err
	}
	if winner.ID == c.ID {
		return winner, nil
	}
	return Change{}, conflict(c, winner.Generation, []Change{winner})
}

// conflict describes what was accepted after the base of a proposal.
func conflict(c Change, current uint64, changes []Change) error {
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
