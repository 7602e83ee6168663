package delegator

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
)

// rpcMethod is the only RPC method; each of its streams carries one unit of work.
const rpcMethod = "/marigoldgauge.Holder/Work"

// cborEncoding encodes the messages between VMs as CBOR. It implements drpc.Encoding.
type cborEncoding struct{}

// Marshal encodes a message.
func (cborEncoding) Marshal(m drpc.Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, eris.Wrap(err, "encoding a message of a unit of work")
}

// Unmarshal decodes a message.
func (cborEncoding) Unmarshal(b []byte, m drpc.Message) error {
	return eris.Wrap(cbor.Unmarshal(b, m), "decoding a message of a unit of work")
}
