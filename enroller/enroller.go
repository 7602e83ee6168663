// Package enroller writes the entry of a VM to the register in the platform's store, by which the other
// VMs find it.
//
// Each process writes an entry of its own, on the condition that the entry is the one that it has read. A write
// of an earlier process of the VM that takes effect late therefore fails, or is replaced.
package enroller

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// errEntryMissing means that the entry was removed while it was being replaced.
var errEntryMissing = eris.New("the entry is not in the register any more")

// Store is the part of the platform's store that an Enroller needs.
type Store interface {
	// List returns the objects under a prefix.
	List(ctx context.Context, prefix string) (keeper.Page, error)
	// Put writes an object if cond holds and returns its new version.
	Put(ctx context.Context, key string, value []byte, cond keeper.Condition) (string, error)
}

// Enroller writes one entry.
type Enroller struct {
	// Store holds the entries under Prefix.
	Store  Store
	Prefix string
	// Name is the name of the VM.
	Name string
	// Entry is its entry.
	Entry Entry
}

// Enrol writes the entry once. After an error, the outcome is unknown, and Enrol must be called
// again. If it has read the register, it returns it.
func (e *Enroller) Enrol(ctx context.Context) (register *keeper.Page, err error) {
	value, err := json.Marshal(e.Entry)
	if err != nil {
		return nil, eris.Wrap(err, "encoding the entry")
	}
	if _, err = e.Store.Put(ctx, e.key(), value, keeper.Condition{Absent: true}); !errors.Is(err, keeper.ErrConflict) {
		return nil, err
	}
	page, err := e.Store.List(ctx, e.Prefix)
	if err != nil {
		return nil, err
	}
	if e.IsEnrolled(page) {
		return &page, nil
	}
	n := slices.IndexFunc(page.Objects, e.isOwn)
	if n < 0 {
		return &page, errEntryMissing
	}
	_, err = e.Store.Put(ctx, e.key(), value, keeper.Condition{Version: page.Objects[n].Version})
	return &page, err
}

// IsEnrolled reports whether the register holds the entry of this process.
func (e *Enroller) IsEnrolled(register keeper.Page) bool {
	return slices.ContainsFunc(register.Objects, func(o keeper.Object) bool {
		var entry Entry
		return e.isOwn(o) && json.Unmarshal(o.Value, &entry) == nil && entry == e.Entry
	})
}

// key returns the key of the entry.
func (e *Enroller) key() string { return e.Prefix + e.Name }

// isOwn reports whether an object is the entry of this VM.
func (e *Enroller) isOwn(o keeper.Object) bool { return o.Key == e.key() }
