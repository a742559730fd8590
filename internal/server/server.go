// Package server runs a gateway instance on TCP sockets. It moves bytes between the sockets and the state machines of package
// proxy, provides the clock and the timers, and owns the goroutines. It makes no decisions about requests.
//
// Each goroutine down to the trace recorder has one owner, which waits for it to end. No owner waits for the others.
//
//	goroutine                     started by             ends with
//	event loop                    Serve                  step 4 of the shutdown (see shutdown.go)
//	accept loop                   Serve                  the listener: its deadline or its closing
//	endpoint watch                Serve                  step 4
//	stopAccepting                 Serve                  the context of Serve
//	client connection, reading    accept loop            its client, its last response, or step 5
//	client over the limit         accept loop            its rejection (lingeringCloseTimeout at most), or step 4
//	backend connection, reading   event loop             its backend, CloseBackend, or step 4
//	counter connection, reading   event loop             the counter, CloseCounter, or step 4
//	read of the endpoint file     endpoint watch, loop   the end of the read
//	admin socket                  startAdmin             step 7
//	admin connection              admin socket           its one response, adminTimeout at most, or step 7
//	trace recorder                startWriting           step 8
//	socket, flushing              a write                all bytes written, or the socket's closing or failure
//	dial of discovery             endpoint watch         its result (watchDialTimeout at most), or the end of its watch
//	replacement of a watch        endpoint watch         a dial that succeeds, a byte on the watch, or the watch's end
//	timeout of the first list     endpoint watch         an idle watch (timeOutFirstList), or step 4
//	reload at SIGHUP              command "node"         the end of Serve, or of a reload in progress at that time
//
// Only the event loop uses proxy.Instance; all other goroutines send it messages (message.go). The state machine of a
// connection is guarded by that connection's mu.
//
// Lock order: Server.clientsMu is taken before clientConn.mu, which is taken before Server.queueMu and socket.mu.
// backendConn.mu is taken before socket.mu. The event loop holds no lock while it makes decisions, and takes the mu of one
// connection at a time while it carries out an effect. Server.endpointsFileMu, which is held during the read of a file, and
// adminServer.snapshotMu are taken before Server.queueMu. No other lock is taken under recorder.mu, endpointWatch.mu,
// connServer.mu and counterConn.mu. Only endpointsFileMu and snapshotMu are held while their holder waits for a peer, a file
// or the event loop.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sandyard/config"
	"sandyard/internal/protocol"
	"sandyard/proxy"
)

// Server is one gateway instance on TCP. Listen creates it; Serve runs it once.
type Server struct {
	cfg              *config.Config
	shared           *proxy.Shared
	log              *slog.Logger
	debug            bool              // whether debug records are enabled in log; cached, since every response logs one
	backendAddresses map[string]string // by endpoint name; see Options
	startTime        time.Time         // when it was created, with a monotonic clock reading
	startedAt        time.Duration     // the same instant on the instance's clock
	listener         *net.TCPListener
	discovery        *endpointWatch // nil: the endpoint list is a file
	recorder         *recorder      // nil: nothing is recorded

	// Only the event loop uses the fields of this block once Serve has started.
	instance        *proxy.Instance
	counter         *counterConn  // nil: not connected, and no dial in progress
	maxLoopDelay    time.Duration // longest delay of a timer in the event loop
	recentLoopDelay recentLoopDelay
	listStatus      endpointListStatus

	connectionsCtx    context.Context // cancelled in step 4 of the shutdown
	cancelConnections context.CancelFunc
	goroutines        sync.WaitGroup // of connections, of the endpoint watch and of reads of the endpoint file

	pacer         *pacer       // of client connections that get many local responses
	expiredReads  atomic.Int64 // reads from clients that ended at their deadline
	trailingBytes trailingBytes

	shuttingDown     atomic.Bool // from step 1 of the shutdown on
	shutdownDeadline time.Time   // set at step 1, before the accept loop ends

	// queueMu guards the queue of the event loop and its state.
	queueMu       sync.Mutex
	queue         []message
	endpointQueue []message     // messages about the endpoint list, which are handled before those in queue
	loopIdle      bool          // the loop waits on wakeLoop
	loopEnded     bool          // the loop has ended: messages are dropped
	queueSpace    sync.Cond     // on queueMu: signalled when the accept loop may continue
	wakeLoop      chan struct{} // buffered, capacity 1: one wake-up covers all messages queued until then

	endpointsQueued   atomic.Bool   // endpointQueue is not empty; set and cleared under queueMu
	endpointsQueuedAt time.Duration // when the first message in endpointQueue was queued; guarded by queueMu

	endpointsFileMu   sync.Mutex // held during a read of the endpoint file, so that the results are posted in the order of reads
	endpointsFileText []byte     // content at the last read; guarded by endpointsFileMu
	endpointsFileRead bool       // the last read succeeded; guarded by endpointsFileMu

	clientsMu sync.Mutex // guards clients
	clients   map[*clientConn]struct{}
}

// Options are the settings of a server that are not part of its configuration.
type Options struct {
	// Seed is the seed of the random numbers used in decisions.
	Seed uint64
	// Log receives the log records. It must be set.
	Log *slog.Logger
	// BackendAddresses override addresses of an endpoint file (host:port), by endpoint name. Addresses that come from
	// discovery are not overridden.
	BackendAddresses map[string]string
	// Protocol is the protocol of clients, backends and counter; nil selects the one that the configuration describes.
	Protocol protocol.Protocol
	// DiscoveryAddress (host:port) is where the endpoint list is watched. If it is empty, the list is read from the file
	// that the configuration names.
	DiscoveryAddress string
	// EndpointsVersion is the version of the endpoint list in the configuration, from which a watch of discovery resumes.
	EndpointsVersion uint64
}

// Listen creates a gateway instance that listens on an address (host:port). Clients wait in the backlog until Serve runs.
// It fails if the settings are invalid, if it cannot listen on the address, or if the trace folder is not writable.
func Listen(cfg *config.Config, addr string, opt Options) (*Server, error) {
	s := newServer(cfg, opt)
	var err error
	if s.instance, err = proxy.NewInstance(s.shared, opt.Seed, s.startedAt); err != nil {
		return nil, err
	}
	if s.discovery != nil {
		s.instance.EndpointsUnhandledFor = s.endpointsUnhandledFor
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.listener = listener.(*net.TCPListener)
	if s.recorder, err = s.startRecorder(opt.Seed); err != nil {
		listener.Close()
		return nil, fmt.Errorf("trace: %w", err)
	}
	s.connectionsCtx, s.cancelConnections = context.WithCancel(context.Background())
	return s, nil
}

func newServer(cfg *config.Config, opt Options) *Server {
	if opt.Protocol == nil {
		opt.Protocol = proxy.NewConfiguredProtocol(cfg, fmt.Sprintf("sandyard-%d", cfg.Instance.Number))
	}
	s := &Server{
		cfg:              cfg,
		shared:           &proxy.Shared{Config: cfg, Protocol: opt.Protocol},
		log:              opt.Log,
		debug:            opt.Log.Enabled(context.Background(), slog.LevelDebug),
		backendAddresses: opt.BackendAddresses,
		startTime:        time.Now(),
		wakeLoop:         make(chan struct{}, 1),
		pacer:            newPacer(),
		clients:          map[*clientConn]struct{}{},
	}
	s.startedAt = time.Duration(s.startTime.UnixNano())
	s.listStatus.confirmedAt = s.startedAt
	s.queueSpace.L = &s.queueMu
	if opt.DiscoveryAddress != "" {
		s.discovery = newEndpointWatch(s, opt.DiscoveryAddress, opt.EndpointsVersion)
		s.shared.MarkStarting()
	}
	return s
}

// Addr returns the address on which the instance listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// now returns the time of the instance's clock, since 1970. The counter keeps a customer's usage by time, so all instances
// must share one time base. After the start the clock follows the monotonic clock: steps of the system clock do not affect it.
func (s *Server) now() time.Duration { return s.startedAt + time.Since(s.startTime) }

// clockOrigin returns the instant at which the instance's clock was zero.
func (s *Server) clockOrigin() time.Time { return s.startTime.Add(-s.startedAt) }

// Serve runs the instance until ctx is cancelled, shuts it down in the order described in shutdown.go, and returns nil. It
// returns an error if the admin socket cannot be opened or the listener fails.
func (s *Server) Serve(ctx context.Context) error {
	defer s.cancelConnections()
	defer s.listener.Close()
	s.recorder.startWriting()
	defer s.recorder.close()
	watchEndpoints := s.startEndpointWatch()
	stopAdmin, err := s.startAdmin()
	if err != nil {
		return err
	}
	defer stopAdmin()
	stopLoop, loopDone := make(chan struct{}), make(chan struct{})
	go func() { // shutDown waits for it
		defer close(loopDone)
		s.eventLoop(stopLoop)
	}()
	s.goroutines.Go(func() { watchEndpoints(s.connectionsCtx) })
	g, gctx := errgroup.WithContext(ctx)
	g.Go(s.accept)
	g.Go(func() error {
		<-gctx.Done()
		s.stopAccepting(ctx.Err() != nil)
		return nil
	})
	err = g.Wait()
	s.shutDown(stopLoop, loopDone)
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
