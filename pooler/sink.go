package pooler

// Sink receives the frames of a response that are sent to the client.
type Sink interface {
	// WriteFrames writes encoded frames. The implementation must not retain raw.
	WriteFrames(raw []byte) error
}
