package delegator

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

const (
	// rpcMethod is the only RPC method; each of its streams carries one unit of work.
	rpcMethod = "/marigoldgauge.Holder/Work"
	// maxMessageBytes is the maximum length of a message between VMs: a statement, its definition and
	// its session values, or the rows of a response.
	maxMessageBytes = 64 << 20
)

// managerOptions are the options of the connections between VMs.
var managerOptions = drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}

// decoding accepts texts that are not valid UTF-8: callers send statements of any bytes. Only the length of a
// message bounds the numbers of its values and rows.
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxMessageBytes, MaxMapPairs: maxMessageBytes}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// cborEncoding encodes the messages between VMs as CBOR. It implements drpc.Encoding.
type cborEncoding struct{}

// Marshal encodes a message.
func (cborEncoding) Marshal(m drpc.Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, eris.Wrap(err, "encoding a message of a unit of work")
}

// Unmarshal decodes a message.
func (cborEncoding) Unmarshal(b []byte, m drpc.Message) error {
	return eris.Wrap(decoding.Unmarshal(b, m), "decoding a message of a unit of work")
}
