package keeper

import "github.com/rotisserie/eris"

var (
	// ErrConflict means that the condition of an update did not hold.
	ErrConflict = eris.New("the object has another version")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = eris.New("no such object")
)
