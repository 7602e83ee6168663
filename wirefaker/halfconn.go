package wirefaker

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// errReset is what both ends see after a reset.
var errReset = eris.New("connection reset by peer")

// packet is a piece of traffic on its way.
type packet struct {
	data []byte
	due  time.Time
}

// events are what a reader waits for besides time.
type events struct {
	wake, changed <-chan struct{}
}

// halfConn is one direction of a connection.
type halfConn struct {
	network *Network
	way     link

	mu       sync.Mutex
	packets  []packet
	closed   bool
	broken   bool
	gone     bool
	deadline time.Time
	wake     chan struct{}
}

// newHalf returns one direction of a connection.
func newHalf(n *Network, way link) *halfConn {
	h := &halfConn{network: n, way: way, wake: make(chan struct{})}
	n.mu.Lock()
	n.conns[h] = struct{}{}
	n.mu.Unlock()
	return h
}

// notify lets the reader look again. The lock is held.
func (h *halfConn) notify() {
	close(h.wake)
	h.wake = make(chan struct{})
}

// send puts data on its way.
func (h *halfConn) send(data []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.broken:
		return 0, errReset
	case h.closed:
		return 0, io.ErrClosedPipe
	case h.gone:
		return 0, errReset
	}
	h.packets = append(h.packets, packet{
		data: append([]byte(nil), data...),
		due:  time.Now().Add(h.network.latency(h.way.from, h.way.to)),
	})
	h.notify()
	return len(data), nil
}

// receive waits for data that has arrived.
func (h *halfConn) receive(p []byte) (int, error) {
	for {
		n, wait, events, err := h.take(p)
		if n > 0 || err != nil {
			return n, err
		}
		h.await(wait, events)
	}
}

// take copies data that has arrived, or tells how long to wait for it.
func (h *halfConn) take(p []byte) (n int, wait time.Duration, e events, err error) {
	cut, changed := h.network.state(h.way)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case h.broken:
		return 0, 0, events{}, errReset
	case h.gone:
		return 0, 0, events{}, io.ErrClosedPipe
	case !h.deadline.IsZero() && !now.Before(h.deadline):
		return 0, 0, events{}, os.ErrDeadlineExceeded
	}
	wait = -1
	if !h.deadline.IsZero() {
		wait = h.deadline.Sub(now)
	}
	e.wake = h.wake
	if cut {
		e.changed = changed
		return 0, wait, e, nil
	}
	if len(h.packets) == 0 {
		if h.closed {
			return 0, 0, events{}, io.EOF
		}
		return 0, wait, e, nil
	}
	if left := h.packets[0].due.Sub(now); left > 0 {
		if wait < 0 || left < wait {
			wait = left
		}
		return 0, wait, e, nil
	}
	n = copy(p, h.packets[0].data)
	h.packets[0].data = h.packets[0].data[n:]
	if len(h.packets[0].data) == 0 {
		h.packets = h.packets[1:]
	}
	return n, 0, events{}, nil
}

// await waits for a time, or without end when it is negative.
func (h *halfConn) await(wait time.Duration, e events) {
	var expired <-chan time.Time
	if wait >= 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-e.wake:
	case <-e.changed:
	case <-expired:
	}
}

// close ends the direction from the sender's side.
func (h *halfConn) close() {
	h.mu.Lock()
	h.closed = true
	h.notify()
	h.mu.Unlock()
	h.forget()
}

// abandon ends the direction from the receiver's side.
func (h *halfConn) abandon() {
	h.mu.Lock()
	h.gone = true
	h.packets = nil
	h.notify()
	h.mu.Unlock()
	h.forget()
}

// reset breaks the direction off.
func (h *halfConn) reset() {
	h.mu.Lock()
	h.broken = true
	h.packets = nil
	h.notify()
	h.mu.Unlock()
	h.forget()
}

// forget takes the direction out of the network.
func (h *halfConn) forget() {
	h.network.mu.Lock()
	delete(h.network.conns, h)
	h.network.mu.Unlock()
}

// setDeadline bounds the wait of the receiver.
func (h *halfConn) setDeadline(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = t
	h.notify()
}
