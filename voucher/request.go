package voucher

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// Topic is the topic of the questions.
const Topic gossiper.Topic = 1

// question asks a VM what it knows, and may tell it a later record.
type question struct {
	Nonce  uint64         `cbor:"1,keyasint"`
	Record *leaser.Record `cbor:"2,keyasint,omitempty"`
}

// answer is what a VM knows.
type answer struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// Name and Incarnation name the process that answers.
	Name        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"6,keyasint"`
	// Known reports that the VM has read or heard the record.
	Known bool `cbor:"3,keyasint,omitempty"`
	// Age is how old its knowledge is.
	Age time.Duration `cbor:"4,keyasint"`
	// Record is the record as it knows it.
	Record leaser.Record `cbor:"5,keyasint"`
}

// ask sends a question to a VM.
func (v *Voucher) ask(now time.Time, p gossiper.Peer, r *leaser.Record) {
	v.mu.Lock()
	v.nonce++
	q := question{Nonce: v.nonce, Record: r}
	for nonce, at := range v.asked {
		if now.Sub(at) > v.Lease {
			delete(v.asked, nonce)
		}
	}
	v.asked[q.Nonce] = now
	v.mu.Unlock()
	b, err := cbor.Marshal(q)
	if err != nil {
		panic(err)
	}
	v.Fleet.Ask(p.Address, Topic, b)
}

// Answer answers the question of another VM; nil is no answer.
func (v *Voucher) Answer(now time.Time, b []byte) []byte {
	var q question
	if cbor.Unmarshal(b, &q) != nil {
		return nil
	}
	if q.Record != nil {
		v.note(now, *q.Record)
	}
	v.mu.Lock()
	a := answer{Nonce: q.Nonce, Name: v.Name, Incarnation: v.Incarnation, Known: v.known && !v.asOf.IsZero(), Age: now.Sub(v.asOf), Record: v.record}
	v.mu.Unlock()
	out, err := cbor.Marshal(a)
	if err != nil {
		panic(err)
	}
	return out
}

// Hear takes the answer of another VM.
//
// The answer was written after the question was sent, so what it says held at
// least at the time of the question less the age that it names.
func (v *Voucher) Hear(now time.Time, b []byte) {
	var a answer
	if cbor.Unmarshal(b, &a) != nil {
		return
	}
	v.mu.Lock()
	sent, ok := v.asked[a.Nonce]
	delete(v.asked, a.Nonce)
	who := process{a.Name, a.Incarnation}
	v.noted[who] = max(v.noted[who], a.Record.Turn)
	v.mu.Unlock()
	if ok && a.Known {
		v.take(now, sent.Add(-a.Age), a.Record)
	}
}
