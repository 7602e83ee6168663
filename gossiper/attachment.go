package gossiper

import "time"

// attachment holds the functions of the component whose state relays attach to their
// digests for the VMs that report to them.
type attachment struct {
	compose func(now time.Time) []byte
	receive func(now time.Time, from Message, b []byte)
}

// SetAttachment sets the functions that return this VM's attachment, or nil for none, and
// that receive those of relays with their message. It must be called before Run.
func (g *Gossiper) SetAttachment(compose func(now time.Time) []byte, receive func(now time.Time, from Message, b []byte)) {
	g.attachment = attachment{compose: compose, receive: receive}
}

// attach adds the attachment of this VM to a digest.
func (g *Gossiper) attach(now time.Time, d *Digest) {
	if g.attachment.compose != nil {
		d.Attachment = g.attachment.compose(now)
	}
}

// receiveAttachment passes on the attachment of a digest.
func (g *Gossiper) receiveAttachment(now time.Time, d *Digest) {
	if g.attachment.receive != nil && len(d.Attachment) > 0 {
		g.attachment.receive(now, d.From, d.Attachment)
	}
}
