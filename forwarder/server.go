package forwarder

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/messenger"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/registrar"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/timestamper"
)

// Server serves the RPCs of the other VMs.
type Server struct {
	configuration Configuration
	local         func(group string) *pooler.Pool
	heartbeats    HeartbeatHandler
	canceller     Canceller
	relay         *Router
	clock         timekeeper.Clock
	issuer        *timestamper.Issuer
	activeWork    atomic.Int64
	relayStopped  atomic.Bool
}

// NewServer returns the Server of a VM. The function local returns the pool of a
// group on this VM. The router relays the work of VMs that cannot reach an
// owner; if it is nil, no work is relayed.
func NewServer(x Configuration, local func(group string) *pooler.Pool, b HeartbeatHandler, c Canceller, r *Router, clock timekeeper.Clock) *Server {
	process := rand.Uint64N(math.MaxUint64) + 1
	return &Server{configuration: x, local: local, heartbeats: b, canceller: c, relay: r, clock: clock, issuer: timestamper.NewIssuer(process, clock.Now())}
}

// Serve serves the other VMs until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeer(mux, s); err != nil {
		return eris.Wrap(err, "registering the peer service")
	}
	err := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}).Serve(ctx, l)
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serving RPCs of other VMs")
}

// Beat handles a heartbeat.
func (s *Server) Beat(_ context.Context, m *messenger.BeatRequest) (*messenger.BeatReply, error) {
	a := s.heartbeats.HandleHeartbeat(registrar.Heartbeat{
		Member:          decodeMember(m.GetMember()),
		Snapshot:        m.GetSnapshot(),
		RosterVersion:   m.GetRosterVersion(),
		Relayed:         decodeMembers(m.GetRelayed()),
		CoordinatorView: m.GetCoordinator(),
		Changes:         m.GetChanges(),
		Suspects:        m.GetSuspects(),
		StoreContactAge: time.Duration(m.GetStoreSilenceMicroseconds()) * time.Microsecond,
	})
	reply := &messenger.BeatReply{
		RosterVersion:            a.Roster.Version,
		Generation:               a.Generation,
		Snapshot:                 a.Snapshot,
		Changes:                  a.Changes,
		Difference:               a.Incremental,
		Gone:                     a.Removed,
		CoordinatorId:            a.CoordinatorID,
		Coordinator:              a.CoordinatorView,
		StoreSilenceMicroseconds: a.StoreContactAge.Microseconds(),
	}
	reply.Members = encodeMembers(a.Roster.Members)
	return reply, nil
}

// Handover releases a pool to another VM.
func (s *Server) Handover(_ context.Context, m *messenger.HandoverRequest) (*messenger.HandoverReply, error) {
	pool := s.local(m.GetGroup())
	if pool == nil {
		return &messenger.HandoverReply{Released: true}, nil
	}
	h := pool.Release(m.GetClaimant())
	reply := &messenger.HandoverReply{Released: h.Released}
	for _, u := range h.InUse {
		reply.Uses = append(reply.Uses, &messenger.InstanceUse{Instance: u.Instance, Connections: uint32(u.Connections)})
	}
	return reply, nil
}

// Share grants fractions of rates.
func (s *Server) Share(_ context.Context, m *messenger.ShareRequest) (*messenger.ShareReply, error) {
	pool := s.local(m.GetGroup())
	if pool == nil {
		return &messenger.ShareReply{NotOwner: true}, nil
	}
	requests := make([]pooler.ShareRequest, 0, len(m.GetFractions()))
	for _, f := range m.GetFractions() {
		requests = append(requests, decodeShareRequest(f))
	}
	replies, ok := pool.GrantShares(requests)
	reply := &messenger.ShareReply{NotOwner: !ok}
	for _, r := range replies {
		reply.Grants = append(reply.Grants, &messenger.Grant{
			Organisation: r.Organisation, Owner: r.OwnerEpoch, Number: r.Number, Sequence: r.Sequence, Granted: r.Granted,
		})
	}
	return reply, nil
}

// Ping responds with the current time of this VM.
func (s *Server) Ping(context.Context, *messenger.PingRequest) (*messenger.PingReply, error) {
	return &messenger.PingReply{Stamp: s.newStamp()}, nil
}

// Observe responds whether this VM reaches an instance.
func (s *Server) Observe(ctx context.Context, m *messenger.ObserveRequest) (*messenger.ObserveReply, error) {
	pool := s.local(m.GetGroup())
	if pool == nil {
		return &messenger.ObserveReply{}, nil
	}
	reachable, term := pool.CheckInstance(ctx, m.GetInstance())
	return &messenger.ObserveReply{Reachable: reachable, Term: term}, nil
}

// Cancel interrupts the statement of a client connected to this VM.
func (s *Server) Cancel(ctx context.Context, m *messenger.CancelRequest) (*messenger.CancelReply, error) {
	return &messenger.CancelReply{Found: s.canceller.Cancel(ctx, m.GetProcess(), m.GetSecret())}, nil
}

// requestQueueSize is the number of requests of one stream that are queued.
const requestQueueSize = 4

// Work runs the batches of one unit of work.
func (s *Server) Work(stream messenger.DRPCPeer_WorkStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	pool := s.local(first.GetAsk().GetGroup())
	if pool == nil {
		return s.sendEnd(stream, pooler.Result{}, coder.New(coder.RouteUnknown, "no such group"))
	}
	s.activeWork.Add(1)
	defer s.activeWork.Add(-1)
	ask := decodeAsk(first.GetAsk())
	work := s.openUnit(pool, ask)
	ctx, cancel := context.WithCancel(stream.Context())
	requests := make(chan *messenger.WorkRequest, requestQueueSize)
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		return receiveRequests(ctx, stream, work, requests)
	})
	err = s.runBatches(ctx, stream, keyedUnit{unit: work, spec: ask, configuration: s.configuration}, first, requests)
	work.Close()
	if err != nil {
		return err
	}
	return nil
}

// StopRelaying stops relaying new units of work of other VMs to owners.
func (s *Server) StopRelaying() {
	s.relayStopped.Store(true)
}

// ActiveWork returns the number of units of work of other VMs on this VM.
func (s *Server) ActiveWork() int64 {
	return s.activeWork.Load()
}

// openUnit opens a unit of work in the pool of this VM, or relays it to the owner
// for a VM that cannot reach the owner.
func (s *Server) openUnit(pool *pooler.Pool, a pooler.WorkSpec) unit {
	if pool.State() == pooler.Owning || a.Relayed || s.relay == nil || s.relayStopped.Load() {
		return pool.Open(a)
	}
	a.Relayed = true
	return s.relay.Open(a)
}

// receiveRequests queues the requests of a stream. Cancel requests are handled at
// once.
func receiveRequests(ctx context.Context, stream messenger.DRPCPeer_WorkStream, work unit, requests chan<- *messenger.WorkRequest) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return nil
		}
		if m.GetCancel() {
			_ = work.Cancel(ctx)
			continue
		}
		select {
		case requests <- m:
		case <-ctx.Done():
			return nil
		}
	}
}

// runBatches runs the batches of a unit of work until it ends.
func (s *Server) runBatches(ctx context.Context, stream messenger.DRPCPeer_WorkStream, work keyedUnit, m *messenger.WorkRequest, requests <-chan *messenger.WorkRequest) error {
	for {
		var result pooler.Result
		err := s.checkAge(m)
		if err == nil {
			result, err = work.Exchange(ctx, decodeBatch(m), streamSink{stream})
		}
		if sendErr := s.sendEnd(stream, result, err); sendErr != nil {
			return sendErr
		}
		if err != nil || result.TransactionStatus == 'I' {
			return nil
		}
		if m = work.awaitRequest(ctx, requests); m == nil {
			return nil
		}
	}
}

// sendEnd sends the end of the response to a batch.
func (s *Server) sendEnd(stream messenger.DRPCPeer_WorkStream, r pooler.Result, err error) error {
	m := encodeEnd(r, err)
	m.Stamp = s.newStamp()
	return stream.Send(&messenger.WorkReply{End: m})
}

// newStamp returns a timestamp of the current time.
func (s *Server) newStamp() *messenger.Stamp {
	return encodeStamp(s.issuer.Issue(s.clock.Now()))
}

// checkAge refuses a batch that was in transit for so long that the VM that sent
// it may have abandoned it. If the batch ran late, it could undo later changes of
// the same client.
func (s *Server) checkAge(m *messenger.WorkRequest) error {
	age, ok := s.issuer.Age(s.clock.Now(), decodeStamp(m.GetSent()))
	if !ok {
		return coder.New(coder.OwnerMoved, "the batch was meant for another process")
	}
	if age > slowThreshold {
		return coder.New(coder.OwnerMoved, "the batch was on its way for too long")
	}
	return nil
}

// streamSink forwards frames to the VM that requested the work.
type streamSink struct {
	stream messenger.DRPCPeer_WorkStream
}

// WriteFrames sends frames on the stream.
func (s streamSink) WriteFrames(raw []byte) error {
	return s.stream.Send(&messenger.WorkReply{Frames: raw})
}
