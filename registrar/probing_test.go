package registrar_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/recorder"
	"github.com/marigoldgauge/marigoldgauge/registrar"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// errAway is returned by a store or VM that cannot be reached.
var errAway = errors.New("unreachable")

// awayStore is a store that cannot be reached.
type awayStore struct{}

func (awayStore) VMs(context.Context) ([]keeper.VM, error) { return nil, errAway }

func (awayStore) Get(context.Context, string) (keeper.Object, error) {
	return keeper.Object{}, errAway
}

func (awayStore) Put(context.Context, string, []byte, keeper.Condition) (string, error) {
	return "", errAway
}

func (awayStore) List(context.Context, string) (keeper.Page, error) {
	return keeper.Page{}, errAway
}

func (awayStore) Watch(context.Context, string, uint64, time.Duration) (keeper.Page, error) {
	return keeper.Page{}, errAway
}

// cell delivers heartbeats between registrars, each of which listens only from its
// own start time on.
type cell struct {
	mu      sync.Mutex
	members map[netip.AddrPort]*registrar.Registrar
	listens map[netip.AddrPort]time.Time
}

func (c *cell) SendHeartbeat(_ context.Context, to netip.AddrPort, b registrar.Heartbeat) (registrar.HeartbeatResponse, error) {
	c.mu.Lock()
	r := c.members[to]
	open := !time.Now().Before(c.listens[to])
	c.mu.Unlock()
	if r == nil || !open {
		return registrar.HeartbeatResponse{}, errAway
	}
	time.Sleep(time.Millisecond)
	return r.HandleHeartbeat(b), nil
}

// VMs that start at the same time must agree on one coordinator before they take
// over pools. Some send their first heartbeats before others listen, and each has
// only the VMs started before it as seeds, so that several become coordinator.
func TestVMsThatStartTogetherAgreeOnACoordinator(t *testing.T) {
	const vms = 9
	// settleTime is the time that processes wait before they take over pools.
	const settleTime = 1200 * time.Millisecond
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				random := rand.New(rand.NewPCG(seed, seed))
				ctx, cancel := context.WithCancel(t.Context())
				c := &cell{members: map[netip.AddrPort]*registrar.Registrar{}, listens: map[netip.AddrPort]time.Time{}}
				var all []registrar.Member
				for n := range vms {
					m := member(fmt.Sprintf("vm-%d", n+1))
					m.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(n + 1)}), 1)
					c.listens[m.Address] = time.Now().Add(time.Duration(random.IntN(4)) * time.Millisecond)
					all = append(all, m)
				}
				var registrars []*registrar.Registrar
				for n, m := range all {
					r := registrar.New(registrar.Dependencies{Self: m, Seeds: all[:n], Store: awayStore{}, Sender: c, Log: configurator.NewLog(), Clock: timekeeper.ClockFunc(time.Now), Recorder: recorder.New(nil)})
					c.members[m.Address] = r
					registrars = append(registrars, r)
				}
				var group errgroup.Group
				for _, r := range registrars {
					group.Go(func() error { return r.Run(ctx) })
				}
				time.Sleep(settleTime)
				for _, r := range registrars {
					g.Expect(r.Coordinator()).To(Equal(registrars[0].Coordinator()))
					g.Expect(r.Roster().Members).To(HaveLen(vms))
				}
				cancel()
				g.Expect(group.Wait()).To(Succeed())
			})
		})
	}
}
