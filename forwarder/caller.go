package forwarder

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/marigoldgauge/marigoldgauge/messenger"
	"github.com/marigoldgauge/marigoldgauge/registrar"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/timestamper"
)

const (
	// connectionsPerVM is the number of idle connections kept to one VM.
	connectionsPerVM = 64
	// idleFor is how long an idle connection to a VM is kept.
	idleFor = 30 * time.Second
	// dialTimeout bounds the opening of a connection to a VM.
	dialTimeout = 500 * time.Millisecond
	// maxMessageBytes bounds a message between VMs.
	maxMessageBytes = 64 << 20
)

// managerOptions are the settings of the connections between VMs.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:     drpcstream.Options{MaximumBufferSize: maxMessageBytes},
		SoftCancel: false,
	}
}

// Dial opens a connection to a VM; with mutual TLS it returns the secured one.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Caller calls the other VMs.
type Caller struct {
	dial Dial
	pool *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	// clock and stamps tell how late it is at the other VMs.
	clock  timekeeper.Clock
	stamps *timestamper.Cache[netip.AddrPort]
}

// NewCaller returns a Caller without connections.
func NewCaller(dial Dial, clock timekeeper.Clock) *Caller {
	return &Caller{
		dial:   dial,
		clock:  clock,
		stamps: timestamper.NewCache[netip.AddrPort](),
		pool: drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleFor,
			KeyCapacity: connectionsPerVM,
		}),
	}
}

// Close closes the idle connections.
func (c *Caller) Close() error {
	return eris.Wrap(c.pool.Close(), "closing the connections to other VMs")
}

// connect opens a connection to a VM.
func (c *Caller) connect(ctx context.Context, to netip.AddrPort) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", to.String())
	if err != nil {
		return nil, unreachable{err}
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// unreachable is the error of a VM to which no connection could be opened.
type unreachable struct {
	error
}

// Unwrap returns the cause.
func (u unreachable) Unwrap() error {
	return u.error
}

// client returns the service of a VM.
func (c *Caller) client(ctx context.Context, to netip.AddrPort) messenger.DRPCPeerClient {
	return messenger.NewDRPCPeerClient(c.pool.Get(ctx, to, c.connect))
}

// SendHeartbeat sends a heartbeat to a VM.
func (c *Caller) SendHeartbeat(ctx context.Context, to netip.AddrPort, b registrar.Heartbeat) (registrar.HeartbeatResponse, error) {
	reply, err := c.client(ctx, to).Beat(ctx, &messenger.BeatRequest{
		Member:                   memberOut(b.Member),
		Generation:               b.Member.Generation,
		Snapshot:                 b.Snapshot,
		RosterVersion:            b.RosterVersion,
		Relayed:                  membersOut(b.Relayed),
		Coordinator:              b.CoordinatorView,
		Changes:                  b.Changes,
		Suspects:                 b.Suspects,
		StoreSilenceMicroseconds: b.StoreContactAge.Microseconds(),
	})
	if err != nil {
		return registrar.HeartbeatResponse{}, eris.Wrapf(err, "sending a heartbeat to %s", to)
	}
	a := registrar.HeartbeatResponse{
		Roster:          registrar.Roster{Version: reply.GetRosterVersion()},
		Generation:      reply.GetGeneration(),
		Snapshot:        reply.GetSnapshot(),
		Changes:         reply.GetChanges(),
		Incremental:     reply.GetDifference(),
		Removed:         reply.GetGone(),
		CoordinatorView: reply.GetCoordinator(),
		CoordinatorID:   reply.GetCoordinatorId(),
		StoreContactAge: time.Duration(reply.GetStoreSilenceMicroseconds()) * time.Microsecond,
	}
	a.Roster.Members = membersIn(reply.GetMembers())
	return a, nil
}

// membersOut writes VMs as messages.
func membersOut(members []registrar.Member) []*messenger.Member {
	var out []*messenger.Member
	for _, m := range members {
		out = append(out, memberOut(m))
	}
	return out
}

// membersIn reads VMs from messages.
func membersIn(members []*messenger.Member) []registrar.Member {
	var out []registrar.Member
	for _, m := range members {
		out = append(out, memberIn(m))
	}
	return out
}

// memberOut writes a VM as a message.
func memberOut(m registrar.Member) *messenger.Member {
	return &messenger.Member{
		Id:               m.ID,
		Address:          m.Address.String(),
		AvailabilityZone: m.AvailabilityZone,
		Leaving:          m.Leaving,
		Generation:       m.Generation,
		Incarnation:      m.Incarnation,
		UnfitGroups:      m.UnfitGroups,
	}
}

// memberIn reads a VM from a message.
func memberIn(m *messenger.Member) registrar.Member {
	address, _ := netip.ParseAddrPort(m.GetAddress())
	return registrar.Member{
		ID:               m.GetId(),
		Address:          address,
		AvailabilityZone: m.GetAvailabilityZone(),
		Leaving:          m.GetLeaving(),
		Generation:       m.GetGeneration(),
		Incarnation:      m.GetIncarnation(),
		UnfitGroups:      m.GetUnfitGroups(),
	}
}

// Cancel passes a cancel request on to a VM.
func (c *Caller) Cancel(ctx context.Context, to netip.AddrPort, process, secret uint32) {
	_, _ = c.client(ctx, to).Cancel(ctx, &messenger.CancelRequest{Process: process, Secret: secret})
}

// Ping reports whether a VM is reached.
func (c *Caller) Ping(ctx context.Context, to netip.AddrPort) bool {
	reply, err := c.client(ctx, to).Ping(ctx, &messenger.PingRequest{})
	if err != nil {
		return false
	}
	c.stamps.Add(c.clock.Now(), to, stampIn(reply.GetStamp()))
	return true
}

// present returns the earliest time that it can be at a VM; one from which no
// stamp came yet is asked for one.
func (c *Caller) present(ctx context.Context, to netip.AddrPort) (timestamper.Timestamp, error) {
	if s, ok := c.stamps.Advanced(c.clock.Now(), to); ok {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if !c.Ping(ctx, to) {
		return timestamper.Timestamp{}, unreachable{eris.New("the VM does not answer a ping")}
	}
	s, _ := c.stamps.Advanced(c.clock.Now(), to)
	return s, nil
}
