package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// session is a session of a client at a VM.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// open opens a session with a database under a key.
func open(v *vm, database, key string) (*session, error) {
	c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", v.ip, clientPort), time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: c, reader: bufio.NewReaderSize(c, 1<<16)}
	if err := c.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(c, "STARTUP %s %s\r\n", database, key); err != nil {
		return nil, err
	}
	line, err := readLine(s.reader)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("the session is refused: %s", line)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return s, nil
}

// answer is the answer to a statement.
type answer struct {
	signature, failure string
	rows               []string
}

// run sends a statement and waits for its answer.
func (s *session) run(id, text string, timeout time.Duration) (answer, error) {
	var a answer
	if err := s.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return a, err
	}
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := readLine(s.reader)
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.failure = rest
		case "READY":
			return a, nil
		}
	}
}

// close ends the session.
func (s *session) close() {
	// The VM notices the end of the connection all the same.
	_, _ = fmt.Fprintf(s.conn, "TERMINATE\r\n")
	_ = s.conn.Close()
}
