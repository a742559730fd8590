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
	cfg               *config.Config
	backendAddresses  map[string]string
	shared            *proxy.Shared
	log               *slog.Logger
	startTime         time.Time     // when it was built, with its monotonic reading
	startedAt         time.Duration // the same on the front door's clock
	instance          *proxy.Instance
	listener          *net.TCPListener
	connectionsCtx    context.Context // ends when connections are to be closed
	cancelConnections context.CancelFunc
	goroutines        errgroup.Group // goroutines of connections
	counter           *counterConn
	discovery         *endpointWatch // nil: the list is a file
	recorder          *recorder      // nil: nothing is recorded
	debug             bool

	expiredReads atomic.Int64 // reads of clients that ended by their deadline

	queueMu    sync.Mutex
	queue      []post
	loopIdle   bool
	loopEnded  bool // the loop has ended
	queueSpace sync.Cond
	wakeLoop   chan struct{}

	endpointsFileMu sync.Mutex
	clientsMu       sync.Mutex
	clients         map[*clientConn]struct{}
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
	counterAddress
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
	keeper *counterConn
	bytes  []byte
	boxes  []config.Endpoint
	look   func(*proxy.Instance, time.Duration)
}

// Options are what a server may be told beside its configuration.
type Options struct {
	Seed uint64
	Log  *slog.Logger
	// BackendAddresses are those of boxes that are elsewhere than the list says, by name.
	BackendAddresses map[string]string
	// Protocol is the way in and out; nil is the configuration's own.
	Protocol protocol.Protocol
	// DiscoveryAddress is the address at which the list of boxes is watched; empty: the list is the configuration's file.
	DiscoveryAddress string
	// EndpointsVersion is the version of the list that the configuration holds, for Discovery.
	EndpointsVersion uint64
}

// Listen builds a front door on an address; Serve runs it.
func Listen(cfg *config.Config, addr string, opt Options) (*Server, error) {
	if opt.Protocol == nil {
		opt.Protocol = proxy.NewConfiguredProtocol(cfg, fmt.Sprintf("sandyard-%d", cfg.Instance.Number))
	}
	s := &Server{cfg: cfg, log: opt.Log, backendAddresses: opt.BackendAddresses, startTime: time.Now(), wakeLoop: make(chan struct{}, 1),
		clients: map[*clientConn]struct{}{},
		shared:  &proxy.Shared{Config: cfg, Protocol: opt.Protocol}}
	s.queueSpace.L = &s.queueMu
	s.startedAt = time.Duration(s.startTime.UnixNano())
	if opt.DiscoveryAddress != "" {
		s.discovery = newEndpointWatch(s, opt.DiscoveryAddress, opt.EndpointsVersion)
		s.shared.MarkStarting()
	}
	s.debug = s.log.Enabled(context.Background(), slog.LevelDebug)
	core, err := proxy.NewInstance(s.shared, opt.Seed, s.startedAt)
	if err != nil {
		return nil, err
	}
	s.instance = core
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.listener = ln.(*net.TCPListener)
	s.recorder, err = s.startRecorder(opt.Seed)
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("trace: %w", err)
	}
	s.connectionsCtx, s.cancelConnections = context.WithCancel(context.Background())
	return s, nil
}

// Addr is where the front door listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// now is the front door's time, since 1970: what customers have used is kept at the counter by time, so that all front
// doors must have one. From the start on it follows the monotonic clock: steps of the machine's clock don't touch it.
func (s *Server) now() time.Duration { return s.startedAt + time.Since(s.startTime) }

// clockOrigin is when that clock stood at zero.
func (s *Server) clockOrigin() time.Time { return s.startTime.Add(-s.startedAt) }

// post queues a message. It never blocks. Only arrivals can be turned down, when limits.queue messages wait: what
// ends work must always get through, and is bounded by the work there is.
func (s *Server) post(p post) bool {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	if s.loopEnded || p.kind == arrive && len(s.queue) >= s.cfg.Limits.Queue {
		return false
	}
	s.queue = append(s.queue, p)
	if s.loopIdle {
		s.loopIdle = false
		select {
		case s.wakeLoop <- struct{}{}:
		default:
		}
	}
	return true
}

// Serve runs until ctx ends, then shuts down: it accepts no more, answers what it holds, and returns nil.
func (s *Server) Serve(ctx context.Context) error {
	defer s.cancelConnections()
	defer s.listener.Close()
	s.recorder.startWriting()
	defer s.recorder.close()
	g, gctx := errgroup.WithContext(ctx)
	stopLoop := make(chan struct{})
	watch, err := s.startEndpointWatch()
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
		s.eventLoop(stopLoop)
	}()
	g.Go(func() error { return watch(gctx) })
	g.Go(s.accept)
	g.Go(func() error {
		<-gctx.Done()
		if delay := time.Duration(s.cfg.Limits.StopDelay); delay > 0 && ctx.Err() != nil {
			s.shared.CloseAfterResponses()
			s.listener.SetDeadline(time.Now().Add(delay)) // what has come in by then is accepted
			return nil
		}
		s.listener.Close()
		s.queueMu.Lock()
		s.queueSpace.Broadcast()
		s.queueMu.Unlock()
		return nil
	})
	err = g.Wait()
	s.drainClients()
	close(stopLoop)
	<-loopDone
	s.cancelConnections()
	s.closeClients()
	s.goroutines.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		err = nil
	}
	st := s.instance.Stats
	s.log.Info("stopped", "arrived", st.Arrived, "served", st.Served, "refused_quota", st.RejectedOverQuota,
		"refused_room", st.RejectedNoCapacity, "failed", st.Failed, "left", st.ClientsLeft, "broken", st.BrokenResponses,
		"attempts", st.Attempts, "dials", st.Dials, "expiries", s.expiredReads.Load(), "keeper_calls", st.CounterCalls)
	return err
}

// accept takes connections. Where the machine has no descriptors left it waits for some: clients wait in the
// backlog, and those that are in go on.
func (s *Server) accept() error {
	wait, last := 5*time.Millisecond, false
	for {
		s.queueMu.Lock()
		for len(s.queue) >= s.cfg.Limits.Queue/2 && !s.loopEnded && s.connectionsCtx.Err() == nil {
			s.queueSpace.Wait() // accepting stops first
		}
		s.queueMu.Unlock()
		conn, err := s.listener.AcceptTCP()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
				errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED) {
				s.log.Warn("accept", "error", err, "again_in", wait.String())
				select {
				case <-time.After(wait):
				case <-s.connectionsCtx.Done():
				}
				wait = min(2*wait, time.Second)
				continue
			}
			if isTimeout(err) && !last { // a deadline that has passed ends the waiting without a look at who has come
				last = true
				s.listener.SetDeadline(time.Now().Add(backlogTime))
				continue
			}
			if isTimeout(err) {
				return nil
			}
			return err
		}
		wait = 5 * time.Millisecond
		if n := s.shared.ClientConns.Add(1); n > int64(s.cfg.Limits.Connections) && !s.waitForClientSlot() {
			if s.shared.ClientConns.Load() > int64(s.cfg.Limits.Connections)+maxRejectedConnections { // not even for an answer there is room
				s.shared.ClientConns.Add(-1)
				conn.Close()
				continue
			}
			s.goroutines.Go(func() error {
				defer s.shared.ClientConns.Add(-1)
				rejectConnection(conn, s.shared.TooManyConnections())
				return nil
			})
			continue
		}
		cc, err := s.newClientConn(conn)
		if err != nil {
			s.shared.ClientConns.Add(-1)
			conn.Close()
			continue
		}
		s.clientsMu.Lock()
		s.clients[cc] = struct{}{}
		s.clientsMu.Unlock()
		s.goroutines.Go(func() error {
			cc.run()
			s.clientsMu.Lock()
			delete(s.clients, cc)
			s.clientsMu.Unlock()
			s.shared.ClientConns.Add(-1)
			return nil
		})
	}
}

const (
	maxRejectedConnections = 16                     // connections beyond the limit that get an answer at a time
	minIdleTime            = 2 * time.Second        // that a connection must have been idle to make room for another
	firstRequestTime       = 150 * time.Millisecond // that a new one has to say something before it has to make room
	clientSlotTimeout      = 300 * time.Millisecond // that accepting waits for room
	clientSlotPoll         = 5 * time.Millisecond
	backlogTime            = 50 * time.Millisecond // for connections that came in before accepting ends
)

// waitForClientSlot waits a while for a connection that can be closed to make room for another, and closes it. Others that come
// meanwhile wait to be accepted.
func (s *Server) waitForClientSlot() bool {
	for range clientSlotTimeout / clientSlotPoll {
		over := s.shared.ClientConns.Load() - int64(s.cfg.Limits.Connections)
		if over <= 0 || over <= maxRejectedConnections/2 && s.evictIdleClient() { // what is told to end does so in a moment, or turns out to be in use
			return true
		}
		select {
		case <-time.After(clientSlotPoll):
		case <-s.connectionsCtx.Done():
			return false
		}
	}
	return false
}

// evictIdleClient closes a connection to make room for another: one that has asked nothing yet, or the one that has been idle for
// longest.
func (s *Server) evictIdleClient() bool {
	s.clientsMu.Lock()
	var candidate *clientConn
	var rank time.Duration
	now := s.now()
	for cc := range s.clients {
		cc.mu.Lock()
		since, requested, idle := cc.client.IdleSince()
		closing := cc.closed || cc.closeRequested
		cc.mu.Unlock()
		if closing || !idle || requested && now-since < minIdleTime || !requested && now-since < firstRequestTime {
			continue
		}
		if !requested {
			since -= time.Hour // before all that have
		}
		if candidate == nil || since < rank {
			candidate, rank = cc, since
		}
	}
	s.clientsMu.Unlock()
	if candidate != nil {
		candidate.mu.Lock()
		candidate.evicted = true
		candidate.requestCloseLocked()
		candidate.mu.Unlock()
	}
	return candidate != nil
}

// rejectConnection answers a connection beyond the limit.
func rejectConnection(conn *net.TCPConn, response []byte) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(lingeringCloseTimeout))
	if _, err := conn.Write(response); err != nil {
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

// drainClients waits until all that is held is answered, or limits.shutdown-timeout is over.
func (s *Server) drainClients() {
	s.shared.RejectNewRequests()
	s.listener.Close()
	limit := time.NewTimer(time.Duration(s.cfg.Limits.ShutdownTimeout))
	defer limit.Stop()
	for {
		s.clientsMu.Lock()
		open := make([]*clientConn, 0, len(s.clients))
		for cc := range s.clients {
			open = append(open, cc)
		}
		s.clientsMu.Unlock()
		if len(open) == 0 {
			return
		}
		for _, cc := range open {
			cc.requestClose()
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
	s.clientsMu.Lock()
	defer s.clientsMu.Unlock()
	for cc := range s.clients {
		cc.socket.close()
		cc.mu.Lock()
		cc.readable.Signal()
		cc.mu.Unlock()
	}
}

// eventLoop owns the core.
func (s *Server) eventLoop(stop <-chan struct{}) {
	s.carryOutEffects()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []post
	for {
		s.queueMu.Lock()
		batch, s.queue = s.queue, batch[:0]
		s.loopIdle = len(batch) == 0
		if len(batch) >= s.cfg.Limits.Queue/2 {
			s.queueSpace.Broadcast()
		}
		s.queueMu.Unlock()
		now := s.now()
		for i := range batch {
			s.handleMessage(now, &batch[i])
			batch[i] = post{}
		}
		if s.instance.NextTimer() <= now {
			s.instance.Tick(now)
			s.carryOutEffects()
		}
		if len(batch) > 0 {
			continue
		}
		timer.Reset(max(0, s.instance.NextTimer()-s.now()))
		select {
		case <-s.wakeLoop:
		case <-timer.C:
		case <-stop:
			s.queueMu.Lock()
			s.loopEnded = true
			s.queueSpace.Broadcast()
			s.queueMu.Unlock()
			s.instance.Stop(s.now())
			s.carryOutEffects()
			return
		}
	}
}

func (s *Server) handleMessage(now time.Duration, p *post) {
	c := s.instance
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
		if p.keeper == s.counter {
			c.CounterConnected(now)
		}
	case keeperDown:
		if p.keeper == s.counter {
			s.counter = nil
			c.CounterDisconnected(now)
		}
	case keeperBytes:
		if p.keeper == s.counter {
			c.CounterReceived(now, p.bytes)
		}
	case list:
		c.ReplaceEndpoints(now, p.boxes, s.clockOrigin())
	case changes:
		c.UpdateEndpoints(now, p.boxes, s.clockOrigin())
	case counterAddress:
		c.SetCounter(now, string(p.bytes))
	case begin:
		s.shared.MarkStarted()
	case listFailed:
		c.EndpointPollFailed(now)
	case inquiry:
		p.look(c, now)
	}
	s.carryOutEffects()
}

// applyEffects does what the core wishes. Nothing here blocks: sockets are written as far as they take it, and what has
// to wait does so in a goroutine of its own.
func (s *Server) carryOutEffects() {
	for _, effect := range s.instance.Effects() {
		switch effect.Kind {
		case proxy.DialBackend:
			s.dialBackend(effect.Conn)
		case proxy.WriteAttempt:
			effect.Conn.Owner.(*backendConn).write(effect.Exchange, effect.Bytes)
		case proxy.CloseBackend:
			effect.Conn.Owner.(*backendConn).close()
		case proxy.Respond:
			effect.Exchange.Owner.(*clientConn).respond(s.now(), effect.Exchange, effect.Bytes, false, effect.CloseAfterResponse)
			s.logResponse(effect.Exchange)
		case proxy.StreamResponse:
			effect.Exchange.Owner.(*clientConn).respond(s.now(), effect.Exchange, effect.Bytes, true, effect.CloseAfterResponse)
			effect.Conn.Owner.(*backendConn).streamPermit <- true
			s.logResponse(effect.Exchange)
		case proxy.AbortClient:
			effect.Exchange.Owner.(*clientConn).relayBody(s.now(), effect.Exchange, nil, false, true)
		case proxy.DialCounter:
			s.dialCounter(effect.Addr)
		case proxy.WriteCounter:
			s.counter.write(effect.Bytes)
		case proxy.CloseCounter:
			s.counter.close()
			s.counter = nil
		case proxy.PollEndpoints:
			if s.discovery == nil { // discovery is watched from the start
				s.readEndpointsFile()
			}
		}
	}
}

func (s *Server) logResponse(ex *proxy.Exchange) {
	if s.debug {
		s.log.Debug("answer", "request", ex.ID, "operation", ex.Operation.ID, "studio", ex.Customer.Name, "status", ex.Status,
			"ms", float64((s.now()-ex.Arrived).Microseconds())/1000)
	}
}

// pollEndpoints reads the file of boxes in a goroutine of its own. A file that is broken or missing leaves the list as it
// was.
func (s *Server) readEndpointsFile() {
	s.goroutines.Go(func() error {
		s.endpointsFileMu.Lock() // readings are told in their order
		defer s.endpointsFileMu.Unlock()
		text, err := os.ReadFile(s.cfg.EndpointsPath())
		if err == nil {
			var endpoints []config.Endpoint
			if endpoints, err = config.ParseEndpoints(s.cfg.EndpointsPath(), text); err == nil {
				s.post(post{kind: list, boxes: s.withBackendAddresses(endpoints)})
				s.log.Info("list of boxes", "file", s.cfg.EndpointsPath(), "boxes", len(endpoints))
				return nil
			}
		}
		s.log.Error("list of boxes: the last one stays in force", "error", err)
		s.post(post{kind: listFailed})
		return nil
	})
}

// withBackendAddresses gives boxes that are elsewhere their addresses.
func (s *Server) withBackendAddresses(endpoints []config.Endpoint) []config.Endpoint {
	for i := range endpoints {
		if addr, ok := s.backendAddresses[endpoints[i].Name]; ok {
			endpoints[i].Address = addr
		}
	}
	return endpoints
}
