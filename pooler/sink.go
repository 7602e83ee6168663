package pooler

// Sink takes the frames of an answer on their way to the caller.
type Sink interface {
	// Frames passes encoded frames on; they are valid during the call only.
	Frames(raw []byte) error
}
