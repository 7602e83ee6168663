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

// maxObservers is the maximum number of VMs that are asked whether they reach an
// instance.
const maxObservers = 5

// Peers sends the requests of pools to other VMs. It implements pooler.Peers.
type Peers struct {
	self       string
	client     *Client
	membership Membership
	local      func(group string) *pooler.Pool
}

// NewPeers returns the Peers of a VM. The function local returns the pool of a
// group on this VM.
func NewPeers(self string, c *Client, r Membership, local func(group string) *pooler.Pool) *Peers {
	return &Peers{self: self, client: c, membership: r, local: local}
}

// CheckInstance asks other VMs whether they reach an instance, and calls answer for
// each response. It asks up to maxObservers VMs, which are ranked by instance.
func (p *Peers) CheckInstance(ctx context.Context, group, instance string, answer func(peer string, reachable bool)) {
	var ids []string
	roster := p.membership.Roster()
	for _, m := range roster.Members {
		if m.ID != p.self {
			ids = append(ids, m.ID)
		}
	}
	ids = ranker.Rank("observe/"+instance, ids)
	if len(ids) > maxObservers {
		ids = ids[:maxObservers]
	}
	var queries errgroup.Group
	for _, id := range ids {
		m, _ := roster.Member(id)
		queries.Go(func() error {
			reply, err := p.client.peerClient(ctx, m.Address).Observe(ctx, &messenger.ObserveRequest{Group: group, Instance: instance})
			if err == nil {
				answer(id, reply.GetReachable())
			}
			return nil
		})
	}
	_ = queries.Wait()
}

// RequestHandover asks the previous owner of a pool to release it.
func (p *Peers) RequestHandover(ctx context.Context, vm, group string) (pooler.HandoverStatus, error) {
	m, ok := p.membership.Roster().Member(vm)
	if !ok {
		return pooler.HandoverStatus{}, eris.Errorf("VM %s is not on the roster", vm)
	}
	reply, err := p.client.peerClient(ctx, m.Address).Handover(ctx, &messenger.HandoverRequest{Group: group, Claimant: p.self})
	if err != nil {
		return pooler.HandoverStatus{}, eris.Wrapf(err, "asking VM %s to hand over the pool of group %s", vm, group)
	}
	h := pooler.HandoverStatus{Released: reply.GetReleased()}
	for _, u := range reply.GetUses() {
		h.InUse = append(h.InUse, pooler.ConnectionUse{Instance: u.GetInstance(), Connections: int(u.GetConnections())})
	}
	return h, nil
}

// RequestShares requests fractions of rates from the VM that owns the pool of a home group.
func (p *Peers) RequestShares(ctx context.Context, home string, requests []pooler.ShareRequest) ([]pooler.ShareReply, error) {
	owner, ok := p.membership.Roster().PoolOwner(home, nil)
	if !ok {
		return nil, eris.Errorf("no VM owns the pool of %s", home)
	}
	if owner.ID == p.self {
		replies, _ := p.local(home).GrantShares(requests)
		return replies, nil
	}
	m := &messenger.ShareRequest{Group: home}
	for _, r := range requests {
		m.Fractions = append(m.Fractions, encodeShareRequest(r))
	}
	reply, err := p.client.peerClient(ctx, owner.Address).Share(ctx, m)
	if err != nil {
		return nil, eris.Wrapf(err, "requesting fractions of rates from VM %s", owner.ID)
	}
	out := make([]pooler.ShareReply, 0, len(reply.GetGrants()))
	for _, g := range reply.GetGrants() {
		out = append(out, pooler.ShareReply{Organisation: g.GetOrganisation(), Reply: allocator.Reply{
			OwnerEpoch: g.GetOwner(), Number: g.GetNumber(), Sequence: g.GetSequence(), Granted: g.GetGranted(),
		}})
	}
	return out, nil
}

// IsAlive reports whether a VM is on the roster.
func (p *Peers) IsAlive(vm string) bool {
	_, ok := p.membership.Roster().Member(vm)
	return ok
}
