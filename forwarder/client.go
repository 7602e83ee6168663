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
	// maxIdleConnections is the maximum number of idle connections to one VM.
	maxIdleConnections = 64
	// idleTimeout is the time after which an idle connection to a VM is closed.
	idleTimeout = 30 * time.Second
	// dialTimeout is the timeout for opening a connection to a VM.
	dialTimeout = 500 * time.Millisecond
	// maxMessageBytes is the maximum size of a message between VMs.
	maxMessageBytes = 64 << 20
)

// managerOptions returns the settings of the connections between VMs.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:     drpcstream.Options{MaximumBufferSize: maxMessageBytes},
		SoftCancel: false,
	}
}

// Dial opens a connection to a VM. If mutual TLS is in use, the TLS handshake is
// part of it.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Client is the RPC client for the other VMs.
type Client struct {
	dial Dial
	pool *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	// clock and stamps give a lower bound of the current time of the other VMs.
	clock  timekeeper.Clock
	stamps *timestamper.Cache[netip.AddrPort]
}

// NewClient returns an RPC client without open connections.
func NewClient(dial Dial, clock timekeeper.Clock) *Client {
	return &Client{
		dial:   dial,
		clock:  clock,
		stamps: timestamper.NewCache[netip.AddrPort](),
		pool: drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			KeyCapacity: maxIdleConnections,
		}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	return eris.Wrap(c.pool.Close(), "closing the connections to other VMs")
}

// connect opens an RPC connection to a VM.
func (c *Client) connect(ctx context.Context, to netip.AddrPort) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", to.String())
	if err != nil {
		return nil, unreachableError{err}
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// unreachableError means that no connection to a VM could be opened, or that it
// did not respond to a ping.
type unreachableError struct {
	error
}

// Unwrap returns the underlying error.
func (u unreachableError) Unwrap() error {
	return u.error
}

// peerClient returns a client of the peer service of a VM.
func (c *Client) peerClient(ctx context.Context, to netip.AddrPort) messenger.DRPCPeerClient {
	return messenger.NewDRPCPeerClient(c.pool.Get(ctx, to, c.connect))
}

// SendHeartbeat sends a heartbeat to a VM.
func (c *Client) SendHeartbeat(ctx context.Context, to netip.AddrPort, b registrar.Heartbeat) (registrar.HeartbeatResponse, error) {
	reply, err := c.peerClient(ctx, to).Beat(ctx, &messenger.BeatRequest{
		Member:                   encodeMember(b.Member),
		Generation:               b.Member.Generation,
		Snapshot:                 b.Snapshot,
		RosterVersion:            b.RosterVersion,
		Relayed:                  encodeMembers(b.Relayed),
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
	a.Roster.Members = decodeMembers(reply.GetMembers())
	return a, nil
}

// encodeMembers returns the messages for a list of VMs.
func encodeMembers(members []registrar.Member) []*messenger.Member {
	var out []*messenger.Member
	for _, m := range members {
		out = append(out, encodeMember(m))
	}
	return out
}

// decodeMembers returns the VMs of a list of messages.
func decodeMembers(members []*messenger.Member) []registrar.Member {
	var out []registrar.Member
	for _, m := range members {
		out = append(out, decodeMember(m))
	}
	return out
}

// encodeMember returns the message for a VM.
func encodeMember(m registrar.Member) *messenger.Member {
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

// decodeMember returns the VM of a message.
func decodeMember(m *messenger.Member) registrar.Member {
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

// Cancel forwards a cancel request to a VM.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, process, secret uint32) {
	_, _ = c.peerClient(ctx, to).Cancel(ctx, &messenger.CancelRequest{Process: process, Secret: secret})
}

// Ping reports whether a VM responds to a ping, and takes the timestamp of the
// response.
func (c *Client) Ping(ctx context.Context, to netip.AddrPort) bool {
	reply, err := c.peerClient(ctx, to).Ping(ctx, &messenger.PingRequest{})
	if err != nil {
		return false
	}
	c.stamps.Add(c.clock.Now(), to, decodeStamp(reply.GetStamp()))
	return true
}

// remoteTime returns a lower bound of the current time at a VM. It pings a VM
// from which no timestamp was received yet.
func (c *Client) remoteTime(ctx context.Context, to netip.AddrPort) (timestamper.Timestamp, error) {
	if s, ok := c.stamps.Advanced(c.clock.Now(), to); ok {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if !c.Ping(ctx, to) {
		return timestamper.Timestamp{}, unreachableError{eris.New("the VM did not respond to a ping")}
	}
	s, _ := c.stamps.Advanced(c.clock.Now(), to)
	return s, nil
}
