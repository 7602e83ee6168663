// Package framer passes on the frames of the PostgreSQL protocol without
// decoding their bodies; package pgproto3 decodes the few that matter.
package framer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// headerBytes is the length of a frame's header: its kind and its length.
	headerBytes = 5
	// lengthBytes is the part of the header that the length counts.
	lengthBytes = 4
	// maxFrameBytes is the longest frame that is passed on.
	maxFrameBytes = 64 << 20
	// readBufferBytes is the size of the buffer in front of a connection.
	readBufferBytes = 8 << 10
)

// Frame is one message as it travels: kind, length and body.
type Frame struct {
	// Kind is the first byte, such as 'D' for a row.
	Kind byte
	// Raw is the whole frame; it is valid until the next call of Next.
	Raw []byte
}

// Body returns the frame without its header.
func (f Frame) Body() []byte {
	return f.Raw[headerBytes:]
}

// Reader reads frames from a connection.
type Reader struct {
	in  *bufio.Reader
	raw []byte
}

// NewReader returns a Reader.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferBytes)}
}

// Buffered reports whether a further frame, or a part of it, has been received.
func (r *Reader) Buffered() bool {
	return r.in.Buffered() > 0
}

// Next reads one frame.
func (r *Reader) Next() (Frame, error) {
	header, err := r.in.Peek(headerBytes)
	if err != nil {
		return Frame{}, err
	}
	size := int(binary.BigEndian.Uint32(header[1:])) + headerBytes - lengthBytes
	if size < headerBytes || size > maxFrameBytes {
		return Frame{}, eris.Errorf("a frame of %d bytes", size)
	}
	if cap(r.raw) < size {
		r.raw = make([]byte, size, max(size, 512))
	}
	r.raw = r.raw[:size]
	if _, err := io.ReadFull(r.in, r.raw); err != nil {
		return Frame{}, err
	}
	return Frame{Kind: r.raw[0], Raw: r.raw}, nil
}
