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

// Server serves the other VMs.
type Server struct {
	local     func(group string) *pooler.Pool
	beats     Beats
	canceller Canceller
	relay     *Router
	clock     timekeeper.Clock
	issuer    *timestamper.Issuer
	active    atomic.Int64
	leaving   atomic.Bool
}

// NewServer returns the Server of a VM; local returns its own pools.
// The router passes on the asks of VMs that cannot reach an owner; nil passes none.
func NewServer(local func(group string) *pooler.Pool, b Beats, c Canceller, r *Router, clock timekeeper.Clock) *Server {
	process := rand.Uint64N(math.MaxUint64) + 1
	return &Server{local: local, beats: b, canceller: c, relay: r, clock: clock, issuer: timestamper.NewIssuer(process, clock.Now())}
}

// Serve answers the other VMs until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeer(mux, s); err != nil {
		return eris.Wrap(err, "registering the service")
	}
	err := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}).Serve(ctx, l)
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serving the other VMs")
}

// Beat answers a heartbeat.
func (s *Server) Beat(_ context.Context, m *messenger.BeatRequest) (*messenger.BeatReply, error) {
	a := s.beats.HandleHeartbeat(registrar.Heartbeat{
		Member:          memberIn(m.GetMember()),
		Snapshot:        m.GetSnapshot(),
		RosterVersion:   m.GetRosterVersion(),
		Relayed:         membersIn(m.GetRelayed()),
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
	reply.Members = membersOut(a.Roster.Members)
	return reply, nil
}

// Handover lets go of a pool.
func (s *Server) Handover(_ context.Context, m *messenger.HandoverRequest) (*messenger.HandoverReply, error) {
	pool := s.local(m.GetGroup())
	if pool == nil {
		return &messenger.HandoverReply{Released: true}, nil
	}
	h := pool.Release(m.GetClaimant())
	reply := &messenger.HandoverReply{Released: h.Released}
	for _, u := range h.Uses {
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
		requests = append(requests, shareIn(f))
	}
	replies, ok := pool.Grant(requests)
	reply := &messenger.ShareReply{NotOwner: !ok}
	for _, r := range replies {
		reply.Grants = append(reply.Grants, &messenger.Grant{
			Organisation: r.Organisation, Owner: r.OwnerEpoch, Number: r.Number, Sequence: r.Sequence, Granted: r.Granted,
		})
	}
	return reply, nil
}

// Ping tells that this VM is reached.
func (s *Server) Ping(context.Context, *messenger.PingRequest) (*messenger.PingReply, error) {
	return &messenger.PingReply{Stamp: s.stamp()}, nil
}

// Observe tells whether this VM reaches an instance.
func (s *Server) Observe(ctx context.Context, m *messenger.ObserveRequest) (*messenger.ObserveReply, error) {
	pool := s.local(m.GetGroup())
	if pool == nil {
		return &messenger.ObserveReply{}, nil
	}
	reachable, term := pool.Observe(ctx, m.GetInstance())
	return &messenger.ObserveReply{Reachable: reachable, Term: term}, nil
}

// Cancel interrupts the statement of a caller connected to this VM.
func (s *Server) Cancel(ctx context.Context, m *messenger.CancelRequest) (*messenger.CancelReply, error) {
	return &messenger.CancelReply{Found: s.canceller.Cancel(ctx, m.GetProcess(), m.GetSecret())}, nil
}

// requestRing is the number of messages of one stream that wait.
const requestRing = 4

// Work runs the batches of one unit of work.
func (s *Server) Work(stream messenger.DRPCPeer_WorkStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	pool := s.local(first.GetAsk().GetGroup())
	if pool == nil {
		return s.end(stream, pooler.Result{}, coder.New(coder.RouteUnknown, "no such group"))
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	work := s.unit(pool, askIn(first.GetAsk()))
	ctx, cancel := context.WithCancel(stream.Context())
	requests := make(chan *messenger.WorkRequest, requestRing)
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		return receive(ctx, stream, work, requests)
	})
	err = s.exchange(ctx, stream, work, first, requests)
	work.Close()
	if err != nil {
		return err
	}
	return nil
}

// Leave makes this VM pass on nothing more for others.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Active returns the number of units of work that other VMs have here.
func (s *Server) Active() int64 {
	return s.active.Load()
}

// unit returns the unit of work that serves an ask: at the pool of this VM, or,
// for a VM that cannot reach the owner, through this one.
func (s *Server) unit(pool *pooler.Pool, a pooler.Ask) unit {
	if pool.State() == pooler.Owning || a.Relayed || s.relay == nil || s.leaving.Load() {
		return pool.Open(a)
	}
	a.Relayed = true
	return s.relay.Open(a)
}

// receive passes requests on, and cancels at once.
func receive(ctx context.Context, stream messenger.DRPCPeer_WorkStream, work unit, requests chan<- *messenger.WorkRequest) error {
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

// exchange runs batches until the unit of work ends.
func (s *Server) exchange(ctx context.Context, stream messenger.DRPCPeer_WorkStream, work unit, m *messenger.WorkRequest, requests <-chan *messenger.WorkRequest) error {
	for {
		var result pooler.Result
		err := s.outdated(m)
		if err == nil {
			result, err = work.Exchange(ctx, batchIn(m), streamSink{stream})
		}
		if sendErr := s.end(stream, result, err); sendErr != nil {
			return sendErr
		}
		if err != nil || result.TransactionStatus == 'I' {
			return nil
		}
		select {
		case m = <-requests:
		case <-ctx.Done():
			return nil
		}
	}
}

// end ends the answer to a batch.
func (s *Server) end(stream messenger.DRPCPeer_WorkStream, r pooler.Result, err error) error {
	m := endOut(r, err)
	m.Stamp = s.stamp()
	return stream.Send(&messenger.WorkReply{End: m})
}

// stamp returns the present time for the VM that asked.
func (s *Server) stamp() *messenger.Stamp {
	return stampOut(s.issuer.Issue(s.clock.Now()))
}

// outdated refuses a batch that was on its way for so long that its VM may have
// given it up: run now, it could undo what its caller did since.
func (s *Server) outdated(m *messenger.WorkRequest) error {
	age, ok := s.issuer.Age(s.clock.Now(), stampIn(m.GetSent()))
	if !ok {
		return coder.New(coder.OwnerMoved, "the batch was meant for another process")
	}
	if age > waitBefore {
		return coder.New(coder.OwnerMoved, "the batch was on its way for too long")
	}
	return nil
}

// streamSink passes frames on to the VM that asked.
type streamSink struct {
	stream messenger.DRPCPeer_WorkStream
}

// Frames passes frames on.
func (s streamSink) Frames(raw []byte) error {
	return s.stream.Send(&messenger.WorkReply{Frames: raw})
}
