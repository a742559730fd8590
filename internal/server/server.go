package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"sandyard/config"
	"sandyard/internal/protocol"
	"sandyard/proxy"
)

// Server is one front door on sockets.
type Server struct {
	cfg    *config.Config
	at     map[string]string
	shared *proxy.Shared
	log    *slog.Logger
	start  time.Time     // when it was built, with its monotonic reading
	began  time.Duration // the same on the front door's clock
	core   *proxy.Instance
	ln     *net.TCPListener
	hard   context.Context // ends when connections are to be closed
	end    context.CancelFunc
	conns  errgroup.Group // goroutines of connections
	keeper *keeperConn
	disco  *discovery // nil: the list is a file
	rec    *recorder  // nil: nothing is recorded
	debug  bool

	expiries atomic.Int64 // reads of clients that ended by their deadline

	mu     sync.Mutex
	queue  []post
	asleep bool
	gone   bool // the loop has ended
	room   sync.Cond
	wake   chan struct{}

	listMu  sync.Mutex
	cmu     sync.Mutex
	clients map[*clientConn]struct{}
}

// kind says what a post tells the core.
type kind uint8

const (
	arrive kind = iota
	leave
	lineUp
	lineDown
	answer
	keeperUp
	keeperDown
	keeperBytes
	list
	listFailed
	changes
	counter
	begin // the list that is held may be gone by
	inquiry
)

// post is a message to the goroutine that owns the core.
type post struct {
	kind   kind
	unsent bool
	ex     *proxy.Exchange
	line   *proxy.BackendConn
	answer proxy.Response
	keeper *keeperConn
	bytes  []byte
	boxes  []config.Endpoint
	look   func(*proxy.Instance, time.Duration)
}

// Options are what a server may be told beside its configuration.
type Options struct {
	Seed uint64
	Log  *slog.Logger
	// Addresses are those of boxes that are elsewhere than the list says, by name.
	Addresses map[string]string
	// Protocol is the way in and out; nil is the configuration's own.
	Protocol protocol.Protocol
	// Discovery is the address at which the list of boxes is watched; empty: the list is the configuration's file.
	Discovery string
	// Seq is the version of the list that the configuration holds, for Discovery.
	Seq uint64
}

// Listen builds a front door on an address; Serve runs it.
func Listen(cfg *config.Config, addr string, opt Options) (*Server, error) {
	if opt.Protocol == nil {
		opt.Protocol = proxy.NewConfiguredProtocol(cfg, fmt.Sprintf("sandyard-%d", cfg.Instance.Number))
	}
	s := &Server{cfg: cfg, log: opt.Log, at: opt.Addresses, start: time.Now(), wake: make(chan struct{}, 1),
		clients: map[*clientConn]struct{}{},
		shared:  &proxy.Shared{Config: cfg, Protocol: opt.Protocol}}
	s.room.L = &s.mu
	s.began = time.Duration(s.start.UnixNano())
	if opt.Discovery != "" {
		s.disco = newDiscovery(s, opt.Discovery, opt.Seq)
		s.shared.MarkStarting()
	}
	s.debug = s.log.Enabled(context.Background(), slog.LevelDebug)
	core, err := proxy.NewInstance(s.shared, opt.Seed, s.began)
	if err != nil {
		return nil, err
	}
	s.core = core
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.ln = ln.(*net.TCPListener)
	s.rec, err = s.startRecorder(opt.Seed)
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("trace: %w", err)
	}
	s.hard, s.end = context.WithCancel(context.Background())
	return s, nil
}

// Addr is where the front door listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// now is the front door's time, since 1970: what customers have used is kept at the counter by time, so that all front
// doors must have one. From the start on it follows the monotonic clock: steps of the machine's clock don't touch it.
func (s *Server) now() time.Duration { return s.began + time.Since(s.start) }

// origin is when that clock stood at zero.
func (s *Server) origin() time.Time { return s.start.Add(-s.began) }

// post queues a message. It never blocks. Only arrivals can be turned down, when limits.queue messages wait: what
// ends work must always get through, and is bounded by the work there is.
func (s *Server) post(p post) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone || p.kind == arrive && len(s.queue) >= s.cfg.Limits.Queue {
		return false
	}
	s.queue = append(s.queue, p)
	if s.asleep {
		s.asleep = false
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// Serve runs until ctx ends, then shuts down: it accepts no more, answers what it holds, and returns nil.
func (s *Server) Serve(ctx context.Context) error {
	defer s.end()
	defer s.ln.Close()
	s.rec.begin()
	defer s.rec.close()
	g, gctx := errgroup.WithContext(ctx)
	stopLoop := make(chan struct{})
	watch, err := s.watchList()
	if err != nil {
		return err
	}
	stopAdmin, err := s.startAdmin()
	if err != nil {
		return err
	}
	defer stopAdmin()
	loopDone := make(chan struct{})
	go func() { // owned by this call, which waits for it
		defer close(loopDone)
		s.loop(stopLoop)
	}()
	g.Go(func() error { return watch(gctx) })
	g.Go(s.accept)
	g.Go(func() error {
		<-gctx.Done()
		if delay := time.Duration(s.cfg.Limits.StopDelay); delay > 0 && ctx.Err() != nil {
			s.shared.CloseAfterResponses()
			s.ln.SetDeadline(time.Now().Add(delay)) // what has come in by then is accepted
			return nil
		}
		s.ln.Close()
		s.mu.Lock()
		s.room.Broadcast()
		s.mu.Unlock()
		return nil
	})
	err = g.Wait()
	s.drain()
	close(stopLoop)
	<-loopDone
	s.end()
	s.closeClients()
	s.conns.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		err = nil
	}
	st := s.core.Stats
	s.log.Info("stopped", "arrived", st.Arrived, "served", st.Served, "refused_quota", st.RejectedOverQuota,
		"refused_room", st.RejectedNoCapacity, "failed", st.Failed, "left", st.ClientsLeft, "broken", st.BrokenResponses,
		"attempts", st.Attempts, "dials", st.Dials, "expiries", s.expiries.Load(), "keeper_calls", st.CounterCalls)
	return err
}

// accept takes connections. Where the machine has no descriptors left it waits for some: clients wait in the
// backlog, and those that are in go on.
func (s *Server) accept() error {
	wait, last := 5*time.Millisecond, false
	for {
		s.mu.Lock()
		for len(s.queue) >= s.cfg.Limits.Queue/2 && !s.gone && s.hard.Err() == nil {
			s.room.Wait() // accepting stops first
		}
		s.mu.Unlock()
		conn, err := s.ln.AcceptTCP()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
				errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED) {
				s.log.Warn("accept", "error", err, "again_in", wait.String())
				select {
				case <-time.After(wait):
				case <-s.hard.Done():
				}
				wait = min(2*wait, time.Second)
				continue
			}
			if isTimeout(err) && !last { // a deadline that has passed ends the waiting without a look at who has come
				last = true
				s.ln.SetDeadline(time.Now().Add(lastLook))
				continue
			}
			if isTimeout(err) {
				return nil
			}
			return err
		}
		wait = 5 * time.Millisecond
		if n := s.shared.Clients.Add(1); n > int64(s.cfg.Limits.Connections) && !s.makeRoom() {
			if s.shared.Clients.Load() > int64(s.cfg.Limits.Connections)+mostTurned { // not even for an answer there is room
				s.shared.Clients.Add(-1)
				conn.Close()
				continue
			}
			s.conns.Go(func() error {
				defer s.shared.Clients.Add(-1)
				turnAway(conn, s.shared.TooManyConnections())
				return nil
			})
			continue
		}
		cc, err := s.newClient(conn)
		if err != nil {
			s.shared.Clients.Add(-1)
			conn.Close()
			continue
		}
		s.cmu.Lock()
		s.clients[cc] = struct{}{}
		s.cmu.Unlock()
		s.conns.Go(func() error {
			cc.run()
			s.cmu.Lock()
			delete(s.clients, cc)
			s.cmu.Unlock()
			s.shared.Clients.Add(-1)
			return nil
		})
	}
}

const (
	mostTurned = 16                     // connections beyond the limit that get an answer at a time
	restTime   = 2 * time.Second        // that a connection must have been idle to make room for another
	talkTime   = 150 * time.Millisecond // that a new one has to say something before it has to make room
	roomTime   = 300 * time.Millisecond // that accepting waits for room
	roomEvery  = 5 * time.Millisecond
	lastLook   = 50 * time.Millisecond // for connections that came in before accepting ends
)

// makeRoom waits a while for a connection that can be closed to make room for another, and closes it. Others that come
// meanwhile wait to be accepted.
func (s *Server) makeRoom() bool {
	for range roomTime / roomEvery {
		over := s.shared.Clients.Load() - int64(s.cfg.Limits.Connections)
		if over <= 0 || over <= mostTurned/2 && s.evict() { // what is told to end does so in a moment, or turns out to be in use
			return true
		}
		select {
		case <-time.After(roomEvery):
		case <-s.hard.Done():
			return false
		}
	}
	return false
}

// evict closes a connection to make room for another: one that has asked nothing yet, or the one that has been idle for
// longest.
func (s *Server) evict() bool {
	s.cmu.Lock()
	var least *clientConn
	var rank time.Duration
	now := s.now()
	for cc := range s.clients {
		cc.mu.Lock()
		since, asked, idle := cc.m.IdleSince()
		shut := cc.closed || cc.ending
		cc.mu.Unlock()
		if shut || !idle || asked && now-since < restTime || !asked && now-since < talkTime {
			continue
		}
		if !asked {
			since -= time.Hour // before all that have
		}
		if least == nil || since < rank {
			least, rank = cc, since
		}
	}
	s.cmu.Unlock()
	if least != nil {
		least.mu.Lock()
		least.brief = true
		least.shutLocked()
		least.mu.Unlock()
	}
	return least != nil
}

// turnAway answers a connection beyond the limit.
func turnAway(conn *net.TCPConn, answer []byte) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := conn.Write(answer); err != nil {
		return
	}
	conn.CloseWrite()
	var b [512]byte
	for range 16 {
		if _, err := conn.Read(b[:]); err != nil {
			return
		}
	}
}

// drain waits until all that is held is answered, or limits.shutdown-timeout is over.
func (s *Server) drain() {
	s.shared.RejectNewRequests()
	s.ln.Close()
	limit := time.NewTimer(time.Duration(s.cfg.Limits.ShutdownTimeout))
	defer limit.Stop()
	for {
		s.cmu.Lock()
		open := make([]*clientConn, 0, len(s.clients))
		for cc := range s.clients {
			open = append(open, cc)
		}
		s.cmu.Unlock()
		if len(open) == 0 {
			return
		}
		for _, cc := range open {
			cc.shut()
		}
		select {
		case <-limit.C:
			s.log.Warn("shutdown: clients left without their answer's end", "connections", len(open))
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *Server) closeClients() {
	s.cmu.Lock()
	defer s.cmu.Unlock()
	for cc := range s.clients {
		cc.link.close()
		cc.mu.Lock()
		cc.resume.Signal()
		cc.mu.Unlock()
	}
}

// loop owns the core.
func (s *Server) loop(stop <-chan struct{}) {
	s.carryOut()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []post
	for {
		s.mu.Lock()
		batch, s.queue = s.queue, batch[:0]
		s.asleep = len(batch) == 0
		if len(batch) >= s.cfg.Limits.Queue/2 {
			s.room.Broadcast()
		}
		s.mu.Unlock()
		now := s.now()
		for i := range batch {
			s.tell(now, &batch[i])
			batch[i] = post{}
		}
		if s.core.NextTimer() <= now {
			s.core.Tick(now)
			s.carryOut()
		}
		if len(batch) > 0 {
			continue
		}
		timer.Reset(max(0, s.core.NextTimer()-s.now()))
		select {
		case <-s.wake:
		case <-timer.C:
		case <-stop:
			s.mu.Lock()
			s.gone = true
			s.room.Broadcast()
			s.mu.Unlock()
			s.core.Stop(s.now())
			s.carryOut()
			return
		}
	}
}

func (s *Server) tell(now time.Duration, p *post) {
	c := s.core
	switch p.kind {
	case arrive:
		c.RequestArrived(now, p.ex)
	case leave:
		c.ClientLeft(now, p.ex)
	case lineUp:
		c.BackendConnected(now, p.line)
	case lineDown:
		c.BackendDisconnected(now, p.line, p.unsent)
	case answer:
		c.ResponseReceived(now, p.line, &p.answer)
	case keeperUp:
		if p.keeper == s.keeper {
			c.CounterConnected(now)
		}
	case keeperDown:
		if p.keeper == s.keeper {
			s.keeper = nil
			c.CounterDisconnected(now)
		}
	case keeperBytes:
		if p.keeper == s.keeper {
			c.CounterReceived(now, p.bytes)
		}
	case list:
		c.ReplaceEndpoints(now, p.boxes, s.origin())
	case changes:
		c.UpdateEndpoints(now, p.boxes, s.origin())
	case counter:
		c.SetCounter(now, string(p.bytes))
	case begin:
		s.shared.MarkStarted()
	case listFailed:
		c.EndpointPollFailed(now)
	case inquiry:
		p.look(c, now)
	}
	s.carryOut()
}

// applyEffects does what the core wishes. Nothing here blocks: sockets are written as far as they take it, and what has
// to wait does so in a goroutine of its own.
func (s *Server) carryOut() {
	for _, w := range s.core.Effects() {
		switch w.Kind {
		case proxy.DialBackend:
			s.dial(w.Conn)
		case proxy.WriteAttempt:
			w.Conn.Owner.(*lineConn).write(w.Exchange, w.Bytes)
		case proxy.CloseBackend:
			w.Conn.Owner.(*lineConn).hang()
		case proxy.Respond:
			w.Exchange.Owner.(*clientConn).answered(s.now(), w.Exchange, w.Bytes, false, w.Closes)
			s.record(w.Exchange)
		case proxy.StreamResponse:
			w.Exchange.Owner.(*clientConn).answered(s.now(), w.Exchange, w.Bytes, true, w.Closes)
			w.Conn.Owner.(*lineConn).grant <- true
			s.record(w.Exchange)
		case proxy.AbortClient:
			w.Exchange.Owner.(*clientConn).relay(s.now(), w.Exchange, nil, false, true)
		case proxy.DialCounter:
			s.dialKeeper(w.Addr)
		case proxy.WriteCounter:
			s.keeper.send(w.Bytes)
		case proxy.CloseCounter:
			s.keeper.hang()
			s.keeper = nil
		case proxy.PollEndpoints:
			if s.disco == nil { // discovery is watched from the start
				s.readList()
			}
		}
	}
}

func (s *Server) record(ex *proxy.Exchange) {
	if s.debug {
		s.log.Debug("answer", "request", ex.ID, "operation", ex.Operation.ID, "studio", ex.Customer.Name, "status", ex.Status,
			"ms", float64((s.now()-ex.Arrived).Microseconds())/1000)
	}
}

// pollEndpoints reads the file of boxes in a goroutine of its own. A file that is broken or missing leaves the list as it
// was.
func (s *Server) readList() {
	s.conns.Go(func() error {
		s.listMu.Lock() // readings are told in their order
		defer s.listMu.Unlock()
		text, err := os.ReadFile(s.cfg.EndpointsPath())
		if err == nil {
			var boxes []config.Endpoint
			if boxes, err = config.ParseEndpoints(s.cfg.EndpointsPath(), text); err == nil {
				s.post(post{kind: list, boxes: s.placed(boxes)})
				s.log.Info("list of boxes", "file", s.cfg.EndpointsPath(), "boxes", len(boxes))
				return nil
			}
		}
		s.log.Error("list of boxes: the last one stays in force", "error", err)
		s.post(post{kind: listFailed})
		return nil
	})
}

// placed gives boxes that are elsewhere their addresses.
func (s *Server) placed(boxes []config.Endpoint) []config.Endpoint {
	for i := range boxes {
		if addr, ok := s.at[boxes[i].Name]; ok {
			boxes[i].Address = addr
		}
	}
	return boxes
}
