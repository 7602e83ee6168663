package keeper

import "github.com/rotisserie/eris"

var (
	// ErrConflict is returned when the condition of an update does not hold.
	ErrConflict = eris.New("object version does not match the condition")
	// ErrNotFound is returned when the object does not exist.
	ErrNotFound = eris.New("object not found")
)
