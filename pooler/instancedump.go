package pooler

import (
	"time"
)

// InstanceDump is the state of one instance.
type InstanceDump struct {
	// ID names the instance.
	ID string `json:"id"`
	// Primary reports whether the instance is the primary.
	Primary bool `json:"primary"`
	// Term is the term that the instance follows.
	Term uint64 `json:"term"`
	// Applied is the applied position of the instance.
	Applied string `json:"applied"`
	// Silence is the time since the last status response.
	Silence string `json:"silence"`
	// RoundTrip is the round-trip time.
	RoundTrip string `json:"round-trip"`
	// InUse is the number of connections in use.
	InUse int `json:"using"`
	// Idle is the number of idle connections.
	Idle int `json:"idle"`
	// Running is the number of statements in flight.
	Running int `json:"running"`
	// Window is the maximum number of statements in flight.
	Window int `json:"window"`
	// Queued is the number of queued requests.
	Queued int `json:"queued"`
	// Served is the number of completed statements.
	Served uint64 `json:"served"`
}

// dumpInstance returns the state of an instance. The caller holds p.mu.
func (p *Pool) dumpInstance(now time.Time, i *instance) InstanceDump {
	t := p.tracker.Instance(i.id)
	return InstanceDump{
		ID:        i.id,
		Primary:   t.Status.Primary,
		Term:      t.Status.Term,
		Applied:   t.Status.Applied.String(),
		Silence:   now.Sub(t.LastResponse).Round(time.Millisecond).String(),
		RoundTrip: i.rtt.Round(time.Microsecond).String(),
		InUse:     i.inUse,
		Idle:      len(i.idleConns),
		Running:   i.running,
		Window:    i.window.Size(),
		Queued:    i.queue.Len(),
		Served:    i.served,
	}
}
