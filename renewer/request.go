package renewer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// Topic is the gossip topic of the requests for the record.
const Topic gossiper.Topic = 1

// recordRequest asks a VM for the record that it knows, and may carry a later record.
type recordRequest struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// Record is an encoded leaser.Record, since the same one is sent to many VMs.
	Record cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// KnownTurn is the turn of the record that the sender knows; zero if none.
	KnownTurn uint64 `cbor:"3,keyasint,omitempty"`
}

// recordResponse carries the record that a VM knows.
type recordResponse struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// Name and Incarnation identify the responding process.
	Name        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"6,keyasint"`
	// Known reports that the VM knows the record and its age.
	Known bool `cbor:"3,keyasint,omitempty"`
	// Age is the age of the record at this VM.
	Age time.Duration `cbor:"4,keyasint"`
	// Record is the record as this VM knows it. If it is the one that the request names,
	// only its turn is set, and Unchanged reports that.
	Record    leaser.Record `cbor:"5,keyasint"`
	Unchanged bool          `cbor:"7,keyasint,omitempty"`
}

// sendRequest sends a request to a VM, with an encoded record unless that is nil.
func (v *Renewer) sendRequest(now time.Time, p gossiper.Peer, r cbor.RawMessage) {
	v.mu.Lock()
	v.nonce++
	request := recordRequest{Nonce: v.nonce, Record: r, KnownTurn: v.record.Writes}
	for nonce, at := range v.pending {
		if now.Sub(at) > v.Lease {
			delete(v.pending, nonce)
		}
	}
	v.pending[request.Nonce] = now
	v.mu.Unlock()
	v.Fleet.SendRequest(p.Address, Topic, encode(request))
}

// encode encodes a part of a message, all of whose types can be encoded.
func encode(part any) []byte {
	b, err := cbor.Marshal(part)
	if err != nil {
		panic(err)
	}
	return b
}

// HandleRequest returns the response to a request of another VM, or nil if the request is
// malformed.
func (v *Renewer) HandleRequest(now time.Time, b []byte) []byte {
	var request recordRequest
	if cbor.Unmarshal(b, &request) != nil {
		return nil
	}
	if request.Record != nil {
		var record leaser.Record
		if cbor.Unmarshal(request.Record, &record) != nil {
			return nil
		}
		v.applyUndated(now, record)
	}
	v.mu.Lock()
	response := recordResponse{Nonce: request.Nonce, Name: v.Name, Incarnation: v.Incarnation, Known: v.known && !v.asOf.IsZero(), Age: now.Sub(v.asOf), Record: v.record}
	v.mu.Unlock()
	if turn := response.Record.Writes; turn > 0 && turn == request.KnownTurn {
		response.Record, response.Unchanged = leaser.Record{Writes: turn}, true
	}
	return encode(response)
}

// HandleResponse handles the response of another VM.
//
// The response was created after the request was sent. Its record is therefore
// valid as of the time at which the request was sent, less the age that the
// response states.
func (v *Renewer) HandleResponse(now time.Time, b []byte) {
	var response recordResponse
	if cbor.Unmarshal(b, &response) != nil {
		return
	}
	v.mu.Lock()
	sent, ok := v.pending[response.Nonce]
	delete(v.pending, response.Nonce)
	from := processID{response.Name, response.Incarnation}
	v.acknowledged[from] = max(v.acknowledged[from], response.Record.Writes)
	if a, ok := v.announced[response.Name]; ok {
		a.unanswered = 0
		v.announced[response.Name] = a
	}
	if response.Unchanged {
		// A record that this VM has learned since then is applied with its own age.
		ok = ok && v.record.Writes == response.Record.Writes
		response.Record = v.record
	}
	v.mu.Unlock()
	if ok && response.Known {
		v.apply(now, sent.Add(-response.Age), response.Record)
	}
}
