//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// session is the session of a client.
type session struct {
	e    *environment
	name string
	conn net.Conn
	r    *bufio.Reader
	sent int
}

// errRefused means that the system refused a session.
var errRefused = errors.New("the session is refused")

// connect opens a session at a machine, with up to 2 s for READY.
func (e *environment) connect(name string, v *vm, database, key string) (*session, error) {
	c, err := net.DialTimeout("tcp4", e.address(1, v.number, callersPort), time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{e: e, name: name, conn: c, r: bufio.NewReaderSize(c, 64<<10)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP %s %s\r\n", database, key); err != nil {
		return nil, err
	}
	line, err := readLine(s.r)
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = c.Close()
		return nil, errors.Join(errRefused, errors.New(line), err)
	}
	return s, nil
}

// result is the answer to a statement.
type result struct {
	id           string
	sent, closed time.Time
	code         string
	signature    string
	state        string
	err          error
}

// query sends a statement and waits for its complete answer.
func (s *session) query(text string, wait time.Duration) result {
	s.sent++
	a := result{id: fmt.Sprintf("%s-%d", s.name, s.sent), sent: time.Now()}
	s.e.log("sent by %s: %s %s", s.name, a.id, abbreviate(text))
	_ = s.conn.SetDeadline(time.Now().Add(wait))
	if _, a.err = fmt.Fprintf(s.conn, "QUERY %s %s\r\n", a.id, text); a.err == nil {
		a.err = s.readAnswer(&a)
	}
	a.closed = time.Now()
	s.e.log("answered to %s: %s error code %q signature %q state %q broken %v after %.3f s", s.name, a.id, a.code, a.signature, a.state, a.err, a.closed.Sub(a.sent).Seconds())
	return a
}

// readAnswer reads an answer to its end.
func (s *session) readAnswer(a *result) error {
	for {
		line, err := readLine(s.r)
		if err != nil {
			return err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code = rest
		case "READY":
			a.state = rest
			return nil
		}
	}
}

// close ends the session.
func (s *session) close() { _ = s.conn.Close() }
