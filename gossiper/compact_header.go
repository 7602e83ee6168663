package gossiper

import (
	"encoding/binary"
	"time"

	"github.com/marigoldgauge/marigoldgauge/timestamper"
)

// stampUnit is the resolution of the times in a compact header. They are rounded down, so
// that a message is never taken for younger than it is.
const stampUnit = time.Millisecond

// compactHeader precedes a compact message. The rest of what a header says follows from
// the profile, which identifies the process that sent the message.
type compactHeader struct {
	// profile is the ID of the profile of the message, and known the ID of the profile of
	// the receiver that the sender knows.
	profile, known uint32
	// echoed identifies the process that issued echo. Without it, a process would take the
	// timestamp of the previous process of its VM for its own.
	echoed uint32
	// stamp and echo are the times of header.Stamp and header.Echo, in units of stampUnit.
	stamp, echo int64
}

// compactHeader returns the compact form of the header.
func (h *header) compact() compactHeader {
	return compactHeader{
		profile: h.Profile, known: h.Known, echoed: shortProcess(h.Echo.ProcessID), stamp: units(h.Stamp.Elapsed), echo: units(h.Echo.Elapsed),
	}
}

// header returns the whole header of a message of the process sender to the process receiver.
func (c *compactHeader) header(sender, receiver uint64) header {
	h := header{Stamp: timestamper.Timestamp{ProcessID: sender, Elapsed: time.Duration(c.stamp) * stampUnit}, Profile: c.profile, Known: c.known}
	if c.echoed == shortProcess(receiver) {
		h.Echo = timestamper.Timestamp{ProcessID: receiver, Elapsed: time.Duration(c.echo) * stampUnit}
	}
	return h
}

// shortProcess returns the part of the number of a process that is in a compact header.
func shortProcess(process uint64) uint32 { return uint32(process) }

// units returns a time in units of stampUnit, rounded down.
func units(d time.Duration) int64 {
	n := d / stampUnit
	if d < n*stampUnit {
		n--
	}
	return int64(n)
}

// encode encodes the header.
func (c *compactHeader) encode() []byte {
	b := binary.BigEndian.AppendUint32(nil, c.profile)
	b = binary.BigEndian.AppendUint32(b, c.known)
	b = binary.BigEndian.AppendUint32(b, c.echoed)
	b = binary.AppendVarint(b, c.stamp)
	return binary.AppendVarint(b, c.echo)
}

// fixedHeaderBytes is the size of the part of a compact header whose size does not vary.
const fixedHeaderBytes = 12

// maxElapsed bounds the times of a compact header that is decoded; it keeps the conversion
// to a duration from overflowing.
const maxElapsed = int64(100 * 365 * 24 * time.Hour / stampUnit)

// decodeCompactHeader decodes a header and returns the bytes after it.
func decodeCompactHeader(b []byte) (c compactHeader, rest []byte, ok bool) {
	if len(b) < fixedHeaderBytes {
		return c, nil, false
	}
	c.profile, c.known, c.echoed = binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint32(b[8:])
	b = b[fixedHeaderBytes:]
	for _, n := range []*int64{&c.stamp, &c.echo} {
		v, size := binary.Varint(b)
		if size <= 0 || v > maxElapsed || v < -maxElapsed {
			return c, nil, false
		}
		*n, b = v, b[size:]
	}
	return c, b, true
}
