package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

const (
	// startupTimeout is how long a client waits for READY after STARTUP.
	startupTimeout = 2 * time.Second
	// deadline is the deadline of an operation.
	deadline = 6 * time.Second
	// statementPause is the pause between two statements of a transaction, and
	// transactionLength the number of its reads.
	statementPause    = 300 * time.Millisecond
	transactionLength = 12
)

// request is a statement of a client that an instance has to run.
type request struct {
	id         string
	vm         *vm
	sent, done time.Time
	// answer is the code of the answer, "done" for a success or "cut" if the connection ended
	// without a whole answer.
	answer string
	// began and ended are the times at which an instance began and ended to run it.
	began, ended time.Time
}

// clientSession is a session of a client.
type clientSession struct {
	conn   net.Conn
	reader *bufio.Reader
	vm     *vm
}

// openSession opens a session at a machine.
func openSession(v *vm, database, key string) (*clientSession, error) {
	conn, err := net.DialTimeout("tcp4", v.address(frontendPort).String(), startupTimeout)
	if err != nil {
		return nil, err
	}
	s := &clientSession{conn: conn, reader: bufio.NewReader(conn), vm: v}
	_ = conn.SetDeadline(time.Now().Add(startupTimeout))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key); err != nil {
		s.close()
		return nil, err
	}
	line, err := s.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY ") {
		s.close()
		return nil, fmt.Errorf("the session was refused: %q %w", line, err)
	}
	return s, nil
}

// close ends the session.
func (s *clientSession) close() {
	_, _ = s.conn.Write([]byte("TERMINATE\r\n"))
	_ = s.conn.Close()
}

// query sends a statement and returns the code of its answer, "done" for a success or "cut".
func (s *clientSession) query(id, text string) string {
	_ = s.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "cut"
	}
	result := "cut"
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return "deadline"
			}
			return "cut"
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "COMPLETE":
			result = "done"
		case "ERROR":
			result, _, _ = strings.Cut(rest, " ")
		case "READY":
			return result
		}
	}
}
