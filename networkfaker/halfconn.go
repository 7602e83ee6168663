package networkfaker

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errReset is returned at both ends after a reset.
var errReset = eris.New("connection reset by peer")

// packet is data in transit with the time of its delivery.
type packet struct {
	data      []byte
	deliverAt time.Time
}

// wakeEvents are the channels that a reader waits on besides its timer.
type wakeEvents struct {
	wake, partitionChanged <-chan struct{}
}

// halfConn is one direction of a connection.
type halfConn struct {
	network *Network
	link    link

	mu             sync.Mutex
	packets        []packet
	senderClosed   bool
	wasReset       bool
	receiverClosed bool
	// silent reports that nothing is delivered any more, not even the end.
	silent   bool
	deadline time.Time
	wake     chan struct{}
}

// newHalfConn returns one direction of a connection.
func newHalfConn(n *Network, l link) *halfConn {
	h := &halfConn{network: n, link: l, wake: make(chan struct{})}
	n.mu.Lock()
	n.conns[h] = struct{}{}
	n.mu.Unlock()
	return h
}

// notify wakes the reader to check its state again. The caller must hold h.mu.
func (h *halfConn) notify() {
	close(h.wake)
	h.wake = make(chan struct{})
}

// send queues data for delivery after the latency of the link.
func (h *halfConn) send(data []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.wasReset:
		return 0, errReset
	case h.senderClosed:
		return 0, io.ErrClosedPipe
	case h.receiverClosed:
		return 0, errReset
	}
	h.packets = append(h.packets, packet{
		data:      append([]byte(nil), data...),
		deliverAt: time.Now().Add(h.network.latency(h.link.from, h.link.to)),
	})
	h.notify()
	return len(data), nil
}

// receive blocks until data is delivered or an error occurs.
func (h *halfConn) receive(p []byte) (int, error) {
	for {
		n, wait, events, err := h.tryReceive(p)
		if n > 0 || err != nil {
			return n, err
		}
		h.waitForEvent(wait, events)
	}
}

// tryReceive copies delivered data to p. If there is none, it returns the time to wait,
// which is negative without a limit, and the events to wait for.
func (h *halfConn) tryReceive(p []byte) (n int, wait time.Duration, e wakeEvents, err error) {
	isPartitioned, changed := h.network.linkState(h.link)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case h.wasReset:
		return 0, 0, wakeEvents{}, errReset
	case h.receiverClosed:
		return 0, 0, wakeEvents{}, io.ErrClosedPipe
	case !h.deadline.IsZero() && !now.Before(h.deadline):
		return 0, 0, wakeEvents{}, os.ErrDeadlineExceeded
	}
	wait = -1
	if !h.deadline.IsZero() {
		wait = h.deadline.Sub(now)
	}
	e.wake = h.wake
	if isPartitioned {
		e.partitionChanged = changed
		return 0, wait, e, nil
	}
	if h.silent {
		return 0, wait, e, nil
	}
	if len(h.packets) == 0 {
		if h.senderClosed {
			return 0, 0, wakeEvents{}, io.EOF
		}
		return 0, wait, e, nil
	}
	if remaining := h.packets[0].deliverAt.Sub(now); remaining > 0 {
		if wait < 0 || remaining < wait {
			wait = remaining
		}
		return 0, wait, e, nil
	}
	n = copy(p, h.packets[0].data)
	h.packets[0].data = h.packets[0].data[n:]
	if len(h.packets[0].data) == 0 {
		h.packets = h.packets[1:]
	}
	return n, 0, wakeEvents{}, nil
}

// waitForEvent waits for an event or until wait has passed; a negative wait means no
// limit.
func (h *halfConn) waitForEvent(wait time.Duration, e wakeEvents) {
	var expired <-chan time.Time
	if wait >= 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-e.wake:
	case <-e.partitionChanged:
	case <-expired:
	}
}

// closeSender closes the direction from the sender's side.
func (h *halfConn) closeSender() {
	h.mu.Lock()
	h.senderClosed = true
	h.notify()
	h.mu.Unlock()
	h.unregister()
}

// closeReceiver closes the direction from the receiver's side and drops its packets.
func (h *halfConn) closeReceiver() {
	h.mu.Lock()
	h.receiverClosed = true
	h.packets = nil
	h.notify()
	h.mu.Unlock()
	h.unregister()
}

// reset resets the direction and drops its packets.
func (h *halfConn) reset() {
	h.mu.Lock()
	h.wasReset = true
	h.packets = nil
	h.notify()
	h.mu.Unlock()
	h.unregister()
}

// silence stops the delivery of data and of the end.
func (h *halfConn) silence() {
	h.mu.Lock()
	h.silent = true
	h.notify()
	h.mu.Unlock()
}

// unregister removes the direction from the network.
func (h *halfConn) unregister() {
	h.network.mu.Lock()
	delete(h.network.conns, h)
	h.network.mu.Unlock()
}

// setDeadline sets the deadline of the receiver.
func (h *halfConn) setDeadline(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = t
	h.notify()
}
