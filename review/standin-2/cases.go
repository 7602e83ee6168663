//go:build review2

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// revokedKey takes a key away while its client has a transaction open.
func revokedKey(e *environment, trouble bool) (string, error) {
	const configApply = 3 * time.Second
	db, err := e.startDatabase(func(string) time.Duration { return 8 * time.Millisecond })
	if err != nil {
		return "", err
	}
	e.configure(1, tenant("uni", 132, "key-1", "key-2"))
	v := e.newVM("zh-hoengg")
	if err := v.start(); err != nil {
		return "", err
	}
	if err := e.awaitReady(4500 * time.Millisecond); err != nil {
		return "", err
	}
	s, err := e.connect("c", v, "booking", "key-2")
	if err != nil {
		return "", err
	}
	defer s.close()
	for _, text := range []string{"BEGIN", "FETCH seat-1"} {
		if a := s.query(text, 4*time.Second); a.err != nil || a.code != "" {
			return "", fmt.Errorf("the transaction does not begin: %s %v", a.code, a.err)
		}
	}
	if trouble {
		e.configure(2, tenant("uni", 132, "key-1"))
	} else {
		e.configure(2, tenant("uni", 132, "key-1", "key-2"))
	}
	acknowledged := time.Now()
	var broken []string
	for n := range 10 {
		time.Sleep(time.Second)
		if n == 3 {
			// Shows whether the machine has the new version: it refuses a new session of the dropped key.
			other, err := e.connect("other", v, "booking", "key-2")
			e.log("a new session with the same key %.2f s after the acknowledgement: %v", time.Since(acknowledged).Seconds(), err)
			if err == nil {
				other.close()
			}
		}
		text := fmt.Sprintf("PUT seat-%d taken", n)
		if n == 9 {
			text = "COMMIT"
		}
		a := s.query(text, 4*time.Second)
		if _, ran := db.ranAt(a.id); ran && trouble && a.sent.Sub(acknowledged) > configApply {
			broken = append(broken, fmt.Sprintf("%s %s, sent %.2f s after the acknowledgement", a.id, text, a.sent.Sub(acknowledged).Seconds()))
		}
		if a.err != nil || a.code != "" {
			break
		}
	}
	if len(broken) > 0 {
		return fmt.Sprintf("CONFIG: %d requests ran with a dropped key; the last: %s", len(broken), broken[len(broken)-1]), nil
	}
	return "", nil
}

// memory lets one tenant send many times its usual, in messages of the largest length.
func memory(e *environment, trouble bool) (string, error) {
	const (
		limit    = 284
		sessions = 200
		message  = 1<<20 - 64
	)
	if _, err := e.startDatabase(func(string) time.Duration { return 24 * time.Millisecond }); err != nil {
		return "", err
	}
	e.configure(1, tenant("uni", 132, "key-1"))
	v := e.newVM("zh-hoengg")
	if err := v.start(); err != nil {
		return "", err
	}
	if err := e.awaitReady(4500 * time.Millisecond); err != nil {
		return "", err
	}
	e.log("peak memory before: %d MB", v.peakMemory())
	length := 400
	if trouble {
		length = message
	}
	data := strings.Repeat("x", length)
	var group sync.WaitGroup
	for n := range sessions {
		group.Add(1)
		go func() {
			defer group.Done()
			s, err := e.connect(fmt.Sprintf("c%d", n), v, "booking", "key-1")
			if err != nil {
				e.log("no session for c%d: %v", n, err)
				return
			}
			defer s.close()
			for range 3 {
				a := s.query("PUT seat-1 "+data, 4*time.Second)
				var timeout net.Error
				if a.err != nil && !errors.As(a.err, &timeout) {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	peak := v.peakMemory()
	e.log("peak memory after: %d MB", peak)
	if peak > limit {
		return fmt.Sprintf("the process takes %d MB, and is killed at %d MB", peak, limit), nil
	}
	return "", nil
}

// peakMemory returns the peak memory of the process of a machine in MB.
func (v *vm) peakMemory() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			n, _ := strconv.Atoi(f[1])
			return n / 1024
		}
	}
	return 0
}
