// Package framer reads the frames (messages) of the PostgreSQL protocol without
// decoding their bodies, so that they can be forwarded unchanged. Package
// pgproto3 decodes the few frames whose contents are needed.
package framer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// headerBytes is the size of a frame header: the kind and the length.
	headerBytes = 5
	// lengthBytes is the size of the length field, which counts itself but not the kind.
	lengthBytes = 4
	// maxFrameBytes is the size of the largest frame that is accepted.
	maxFrameBytes = 64 << 20
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 8 << 10
)

// Frame is one encoded message: kind, length and body.
type Frame struct {
	// Kind is the first byte, such as 'D' for DataRow.
	Kind byte
	// Raw is the whole frame, with its header. It is valid until the next call of Reader.Next.
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

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferBytes)}
}

// Buffered reports whether the buffer holds another frame or a part of one.
func (r *Reader) Buffered() bool {
	return r.in.Buffered() > 0
}

// Next reads the next frame. It returns an error if the frame exceeds maxFrameBytes.
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
