package enroller_test

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/enroller"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

const prefix = "vms/"

// store is a fake store with one object.
type store struct {
	object   keeper.Object
	revision int
	// postpone leaves the writes whose condition holds without an answer, until their time comes.
	postpone bool
	late     []func()
}

func (s *store) List(context.Context, string) (keeper.Page, error) {
	if s.object.Version == "" {
		return keeper.Page{}, nil
	}
	return keeper.Page{Objects: []keeper.Object{s.object}}, nil
}

func (s *store) Put(ctx context.Context, key string, value []byte, cond keeper.Condition) (string, error) {
	if cond.Absent && s.object.Version != "" || cond.Version != "" && cond.Version != s.object.Version {
		return "", keeper.ErrConflict
	}
	if s.postpone {
		s.late = append(s.late, func() { _, _ = s.Put(ctx, key, value, cond) })
		return "", eris.New("no response")
	}
	s.revision++
	s.object = keeper.Object{Key: key, Version: strconv.Itoa(s.revision), Value: value}
	return s.object.Version, nil
}

// Guards against the address of an ended process in the register, from which the VM could not be found: its
// last write takes effect after the next process has enrolled.
func TestLateWritesOfAnEndedProcess(t *testing.T) {
	entry := func(address string, incarnation uint64) enroller.Entry {
		return enroller.Entry{Peers: netip.MustParseAddrPort(address), Incarnation: incarnation}
	}
	tests := []struct {
		name string
		// processes are the entries of the successive processes of the VM; the write of the last but one is late.
		processes []enroller.Entry
	}{
		{"first write", []enroller.Entry{entry("10.0.0.1:1", 1), entry("10.0.0.2:1", 2)}},
		{"another address", []enroller.Entry{entry("10.0.0.1:1", 1), entry("10.0.0.2:1", 2), entry("10.0.0.3:1", 3)}},
		{"the address of an earlier process", []enroller.Entry{entry("10.0.0.1:1", 1), entry("10.0.0.2:1", 2), entry("10.0.0.1:1", 3)}},
		{"an entry of an earlier version of the program", []enroller.Entry{entry("10.0.0.1:1", 0), entry("10.0.0.2:1", 2), entry("10.0.0.1:1", 3)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			s := &store{}
			last := len(tt.processes) - 1
			for n, p := range tt.processes {
				e := enroller.Enroller{Store: s, Prefix: prefix, Name: "a", Entry: p}
				s.postpone = n == last-1
				_, err := e.Enrol(t.Context())
				g.Expect(err != nil).To(Equal(s.postpone))
			}
			for _, do := range s.late {
				do()
			}
			var stored enroller.Entry
			g.Expect(json.Unmarshal(s.object.Value, &stored)).To(Succeed())
			g.Expect(stored).To(Equal(tt.processes[last]))
		})
	}
}
