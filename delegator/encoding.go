package delegator

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
)

// procedure is the only remote procedure: a unit of work.
const procedure = "/marigoldgauge.Holder/Work"

// encoding writes messages between VMs as CBOR.
type encoding struct{}

// Marshal writes a message.
func (encoding) Marshal(m drpc.Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, eris.Wrap(err, "encoding a unit of work")
}

// Unmarshal reads a message.
func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	return eris.Wrap(cbor.Unmarshal(b, m), "decoding a unit of work")
}
