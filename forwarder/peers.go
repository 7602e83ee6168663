package forwarder

import (
	"context"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/allocator"
	"github.com/marigoldgauge/marigoldgauge/messenger"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/ranker"
)

// observers is the number of VMs that are asked whether they reach an instance.
const observers = 5

// Peers calls the other VMs on behalf of a pool. It implements pooler.Peers.
type Peers struct {
	self     string
	caller   *Caller
	register Register
	local    func(group string) *pooler.Pool
}

// NewPeers returns the Peers of a VM; local returns its own pools.
func NewPeers(self string, c *Caller, r Register, local func(group string) *pooler.Pool) *Peers {
	return &Peers{self: self, caller: c, register: r, local: local}
}

// Observe asks some peers whether they reach an instance.
func (p *Peers) Observe(ctx context.Context, group, instance string, answer func(peer string, reachable bool)) {
	var ids []string
	roster := p.register.Roster()
	for _, m := range roster.Members {
		if m.ID != p.self {
			ids = append(ids, m.ID)
		}
	}
	ids = ranker.Rank("observe/"+instance, ids)
	if len(ids) > observers {
		ids = ids[:observers]
	}
	var asked errgroup.Group
	for _, id := range ids {
		m, _ := roster.Member(id)
		asked.Go(func() error {
			reply, err := p.caller.client(ctx, m.Address).Observe(ctx, &messenger.ObserveRequest{Group: group, Instance: instance})
			if err == nil {
				answer(id, reply.GetReachable())
			}
			return nil
		})
	}
	_ = asked.Wait()
}

// Handover asks the VM that owned a pool to let go of it.
func (p *Peers) Handover(ctx context.Context, vm, group string) (pooler.Handover, error) {
	m, ok := p.register.Roster().Member(vm)
	if !ok {
		return pooler.Handover{}, eris.Errorf("VM %s is not on the roster", vm)
	}
	reply, err := p.caller.client(ctx, m.Address).Handover(ctx, &messenger.HandoverRequest{Group: group, Claimant: p.self})
	if err != nil {
		return pooler.Handover{}, eris.Wrapf(err, "asking %s for the pool of %s", vm, group)
	}
	h := pooler.Handover{Released: reply.GetReleased()}
	for _, u := range reply.GetUses() {
		h.Uses = append(h.Uses, pooler.Use{Instance: u.GetInstance(), Connections: int(u.GetConnections())})
	}
	return h, nil
}

// Share talks to the VM that owns the pool of a home group.
func (p *Peers) Share(ctx context.Context, home string, requests []pooler.ShareRequest) ([]pooler.ShareReply, error) {
	owner, ok := p.register.Roster().PoolOwner(home, nil)
	if !ok {
		return nil, eris.Errorf("no VM owns the pool of %s", home)
	}
	if owner.ID == p.self {
		replies, _ := p.local(home).Grant(requests)
		return replies, nil
	}
	m := &messenger.ShareRequest{Group: home}
	for _, r := range requests {
		m.Fractions = append(m.Fractions, shareOut(r))
	}
	reply, err := p.caller.client(ctx, owner.Address).Share(ctx, m)
	if err != nil {
		return nil, eris.Wrapf(err, "asking %s for fractions", owner.ID)
	}
	out := make([]pooler.ShareReply, 0, len(reply.GetGrants()))
	for _, g := range reply.GetGrants() {
		out = append(out, pooler.ShareReply{Organisation: g.GetOrganisation(), Reply: allocator.Reply{
			OwnerEpoch: g.GetOwner(), Number: g.GetNumber(), Sequence: g.GetSequence(), Granted: g.GetGranted(),
		}})
	}
	return out, nil
}

// Live reports whether a VM is on the roster.
func (p *Peers) Live(vm string) bool {
	_, ok := p.register.Roster().Member(vm)
	return ok
}
