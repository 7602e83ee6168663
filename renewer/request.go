package renewer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Topic is the gossip topic of the requests for the record.
const Topic gossiper.Topic = 1

// recordRequest asks a VM for the record that it knows, and may carry a later record.
type recordRequest struct {
	Nonce  uint64         `cbor:"1,keyasint"`
	Record *leaser.Record `cbor:"2,keyasint,omitempty"`
	// KnownTurn is the turn of the record that the sender knows; zero if none, or if it needs
	// the whole record.
	KnownTurn uint64 `cbor:"3,keyasint,omitempty"`
	// AcceptsChanges reports that the response may state changes after KnownTurn. Earlier
	// versions do not.
	AcceptsChanges bool `cbor:"4,keyasint,omitempty"`
	// Changes are the changes that lead to Record, which then has no terms.
	Changes *recordChanges `cbor:"5,keyasint,omitempty"`
	// KnownWrite identifies the write of the record of KnownTurn; zero if it is not known.
	KnownWrite uint64 `cbor:"6,keyasint,omitempty"`
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
	// Changes are the changes that lead to Record, which then has no terms.
	Changes *recordChanges `cbor:"8,keyasint,omitempty"`
	// AcceptsChanges reports that later requests may state changes after the turn of Record.
	AcceptsChanges bool `cbor:"9,keyasint,omitempty"`
	// Sealed is the turn of the announced record from which the VM passes on no commit of a
	// superseded term; zero if none was announced, or from earlier versions. Floors then holds, by
	// group, the position that a log must reach to hold every commit that it saw acknowledged.
	Sealed uint64                      `cbor:"10,keyasint,omitempty"`
	Floors map[string]tracker.Position `cbor:"11,keyasint,omitempty"`
	// Write identifies the write of Record; zero if it is not known.
	Write uint64 `cbor:"12,keyasint,omitempty"`
}

// sendRequest requests the record that a VM knows.
func (v *Renewer) sendRequest(now time.Time, p gossiper.Peer) {
	v.send(now, p, recordRequest{})
}

// sendRecord sends a VM the record that this VM knows, as changes where the VM has
// acknowledged an earlier one.
func (v *Renewer) sendRecord(now time.Time, p gossiper.Peer) {
	v.mu.Lock()
	record := v.record
	var changes *recordChanges
	if a := v.acknowledged[processID{p.Name, p.Incarnation}]; a.acceptsChanges {
		changes = v.history.changesAfter(a.record.turn, record)
	}
	v.mu.Unlock()
	if changes != nil {
		record = header(record)
	}
	v.send(now, p, recordRequest{Record: &record, Changes: changes})
}

// send sends a request to a VM.
func (v *Renewer) send(now time.Time, p gossiper.Peer, request recordRequest) {
	v.mu.Lock()
	v.nonce++
	request.Nonce, request.KnownTurn, request.KnownWrite, request.AcceptsChanges = v.nonce, v.record.Writes, v.record.WriteID(), true
	if v.needsWhole {
		request.KnownTurn = 0
	}
	for nonce, at := range v.pending {
		if now.Sub(at) > v.Lease {
			delete(v.pending, nonce)
		}
	}
	v.pending[request.Nonce] = now
	v.mu.Unlock()
	v.Fleet.SendRequest(p.Address, Topic, encode(request))
}

// encode encodes a message, all of whose types can be encoded.
func encode(message any) []byte {
	b, err := cbor.Marshal(message)
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
	understood := true
	if request.Record != nil {
		record, known := *request.Record, v.Record()
		if request.Changes != nil && record.Writes > known.Writes {
			record, understood = request.Changes.applyTo(known, record)
		}
		if understood {
			v.applyUndated(now, record)
			// A VM that knows another record of the same turn has not followed.
			understood = identify(v.Record()).covers(identify(record))
		}
	}
	response := v.response(now, request)
	if request.Record != nil && understood {
		response.Sealed, response.Floors = v.seal(request)
	}
	// A VM that could not follow the changes is sent the whole record next.
	response.AcceptsChanges = understood
	return encode(response)
}

// response returns the response to a request: the record as far as the other VM does not
// know it.
func (v *Renewer) response(now time.Time, request recordRequest) recordResponse {
	v.mu.Lock()
	defer v.mu.Unlock()
	response := recordResponse{Nonce: request.Nonce, Name: v.Name, Incarnation: v.Incarnation, Known: v.known && !v.asOf.IsZero(), Age: now.Sub(v.asOf), Record: v.record, Write: v.record.WriteID()}
	known := recordID{turn: request.KnownTurn, write: request.KnownWrite}
	switch turn := v.record.Writes; {
	case turn == 0 || request.KnownTurn == 0:
	case turn == request.KnownTurn && !known.matches(identify(v.record)):
	case turn == request.KnownTurn:
		response.Record, response.Unchanged = leaser.Record{Writes: turn}, true
	case !request.AcceptsChanges:
	case turn < request.KnownTurn:
		// The other VM ignores an earlier record than its own.
		response.Record = header(v.record)
	default:
		if response.Changes = v.history.changesAfter(request.KnownTurn, v.record); response.Changes != nil {
			response.Record = header(v.record)
		}
	}
	return response
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
	v.recordFloors(from, response)
	stated := recordID{turn: response.Record.Writes, write: response.Write}
	a := acknowledgement{record: v.acknowledged[from].record, acceptsChanges: response.AcceptsChanges}
	if stated.turn >= a.record.turn {
		a.record = stated
	}
	v.acknowledged[from] = a
	if a, ok := v.announced[response.Name]; ok {
		a.unanswered = 0
		v.announced[response.Name] = a
	}
	if response.Unchanged {
		// A record that this VM has learned since then is applied with its own age.
		ok = ok && stated.matches(identify(v.record))
		response.Record = v.record
	}
	if response.Changes != nil {
		ok = v.completeRecord(&response) && ok
	} else if response.Record.Writes >= v.record.Writes {
		v.needsWhole = false
	}
	v.mu.Unlock()
	if ok && response.Known {
		v.apply(now, sent.Add(-response.Age), response.Record)
	}
}

// completeRecord replaces the record of a response that states changes by the one to which
// they lead, and reports whether they do. After a failure the whole record is requested.
// The caller holds the lock.
func (v *Renewer) completeRecord(response *recordResponse) bool {
	switch {
	case response.Record.Writes < v.record.Writes:
		return false
	case identify(response.Record).matches(identify(v.record)):
		response.Record = v.record
		return true
	}
	record, ok := response.Changes.applyTo(v.record, response.Record)
	response.Record, v.needsWhole = record, !ok
	return ok
}
