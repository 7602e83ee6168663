package dispatcher

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
)

// withdrawalGrace is how long a statement may still run in a transaction whose key has gone.
// Short statements end in that time and leave a connection that can be used again.
const withdrawalGrace = time.Second

// withdrawnReason is the reason of refusals of units whose key has gone.
const withdrawnReason = "the key was withdrawn before the statement was sent"

// errWithdrawn means that a statement of a transaction was not sent, or was given up while the
// transaction could not be committed any more, because its key has gone.
var errWithdrawn = eris.New("the key was withdrawn")

// refuseWithdrawn refuses a unit whose key has gone before it was sent to an instance.
func (d *Dispatcher) refuseWithdrawn(now time.Time, u Unit) modeller.Response {
	if u.trace.attempts == 0 {
		d.Throttler.ReturnToken(now, u.Organisation)
	}
	d.Journal.Request("refuse", u.Statement.ID, journaler.Code(coder.KeyWithdrawn), journaler.Reason(withdrawnReason),
		journaler.Organisation(u.Organisation), journaler.Group(u.Route.Group), journaler.F("kind", u.Statement.Kind),
		journaler.F("waited", now.Sub(u.StartedAt)))
	result := modeller.UnknownKey
	if u.Statement.Kind == modeller.Begin || u.Statement.Kind == modeller.BeginReadOnly {
		result = modeller.Aborted
	}
	return refuse(result, coder.KeyWithdrawn, withdrawnReason)
}

// breakOffWithdrawn breaks a statement in a transaction off if it still runs withdrawalGrace after its
// key has gone: the transaction is rolled back in any case. The caller calls stop after the statement.
func breakOffWithdrawn(u Unit, conn *connector.PooledConn) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	remove := u.Grant.OnEnd(func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer = time.AfterFunc(withdrawalGrace, conn.BreakOff)
		}
	})
	return func() {
		remove()
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		if timer != nil {
			timer.Stop()
		}
	}
}
