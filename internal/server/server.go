// Package server is the runtime of a gateway instance on TCP: it carries bytes between sockets and the state machines of
// package proxy, keeps the time and owns the goroutines. It decides nothing about a request.
//
// Each goroutine but the last three has one owner, which waits for its end:
//
//	goroutine                     started by             ends with
//	event loop                    Serve                  step 3 of the shutdown (see shutdown.go)
//	accept loop                   Serve                  the listener: its deadline or its end
//	endpoint watch                Serve                  step 4
//	stop of accepting             Serve                  the context of Serve
//	client connection, reading    accept loop            its client, its last response, or step 5
//	client over the limit         accept loop            its rejection: lingeringCloseTimeout at most, or step 4
//	backend connection, reading   event loop             its backend, CloseBackend, or step 4
//	counter connection, reading   event loop             the counter, CloseCounter, or step 3
//	reading of the endpoint file  endpoint watch, loop   the end of the reading
//	admin socket                  startAdmin             step 7
//	admin connection              admin socket           its one response, adminTimeout at most, or step 7
//	trace recorder                startWriting           step 8
//	socket, flushing              a write                all bytes written, or the socket's end
//	canceller of a watch          endpoint watch         the end of its watch, or another address of discovery
//	end of the wait for a list    endpoint watch         discovery's silence, or the end of the watch
//	reload at SIGHUP              command "node"         the end of Serve, or of the reload that is under way then
//
// The event loop alone owns proxy.Instance; all others hand it messages (message.go). The state machine of a connection
// belongs to whoever holds that connection's mu.
//
// Locks. Server.clientsMu comes before clientConn.mu, that before Server.queueMu and socket.mu; backendConn.mu comes before
// socket.mu. The event loop holds no lock while it decides, and takes one connection's mu at a time while it carries out
// an effect. Server.endpointsFileMu, held through the reading of a file, and adminServer.snapshotMu come before
// Server.queueMu. Under recorder.mu, endpointWatch.mu, connServer.mu and counterConn.mu no other lock is taken. None but
// endpointsFileMu and snapshotMu is held while its holder waits for a peer, a file or the event loop.
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

// Server is one gateway instance on TCP. Listen builds it; Serve runs it once.
type Server struct {
	cfg              *config.Config
	shared           *proxy.Shared
	log              *slog.Logger
	debug            bool              // whether log takes debug records; cached, since every response logs one
	backendAddresses map[string]string // by endpoint name; see Options
	startTime        time.Time         // when it was built, with its monotonic reading
	startedAt        time.Duration     // the same instant on the instance's clock
	listener         *net.TCPListener
	discovery        *endpointWatch // nil: the endpoint list is a file
	recorder         *recorder      // nil: nothing is recorded

	// instance and counter belong to the event loop from the start of Serve on.
	instance        *proxy.Instance
	counter         *counterConn  // nil: there is no connection, not even one that is being made
	maxLoopDelay    time.Duration // of the event loop's timers
	recentLoopDelay recentLoopDelay
	listStatus      endpointListStatus

	connectionsCtx    context.Context // ends at step 4 of the shutdown
	cancelConnections context.CancelFunc
	goroutines        sync.WaitGroup // of connections, of the endpoint watch and of readings of the endpoint file

	expiredReads atomic.Int64 // reads of clients that ended by their deadline

	shuttingDown     atomic.Bool // from step 1 of the shutdown on
	shutdownDeadline time.Time   // set at step 1, before the accept loop ends

	// queueMu guards the queue of the event loop and its state.
	queueMu       sync.Mutex
	queue         []message
	endpointQueue []message     // of the endpoint list, which go ahead of those in queue
	loopIdle      bool          // the loop waits for wakeLoop
	loopEnded     bool          // messages are dropped
	queueSpace    sync.Cond     // on queueMu: signalled when accepting may go on
	wakeLoop      chan struct{} // buffered, capacity 1: one wake-up covers all messages queued until then

	endpointsQueued   atomic.Bool   // endpointQueue has messages; set and cleared under queueMu
	endpointsQueuedAt time.Duration // when the first of them was queued; of queueMu

	endpointsFileMu   sync.Mutex // held through a reading of the endpoint file, so that readings are handed over in their order
	endpointsFileText []byte     // of the last reading; of endpointsFileMu
	endpointsFileRead bool       // the last reading got a text; of endpointsFileMu

	clientsMu sync.Mutex // guards clients
	clients   map[*clientConn]struct{}
}

// Options are what a server is given beside its configuration.
type Options struct {
	// Seed is that of the random numbers of all decisions.
	Seed uint64
	// Log takes the log. It must be set.
	Log *slog.Logger
	// BackendAddresses replace the addresses of an endpoint file (host:port), by endpoint name; those of discovery stand.
	BackendAddresses map[string]string
	// Protocol is the protocol of clients, backends and counter; nil: the one that the configuration describes.
	Protocol protocol.Protocol
	// DiscoveryAddress (host:port) is where the endpoint list is watched; empty: the list is the file that the
	// configuration names.
	DiscoveryAddress string
	// EndpointsVersion is the version of the endpoint list in the configuration, from which a watch of discovery goes on.
	EndpointsVersion uint64
}

// Listen builds a gateway instance that listens on an address (host:port); clients wait in the backlog until Serve runs.
// It fails where the settings can't be taken, the address is not free, or the folder of traces can't be written.
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

// Addr is the address on which the instance listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// now is the instance's time since 1970: a customer's use is kept at the counter by time, so that all instances must have
// one time. From the start on it follows the monotonic clock: steps of the machine's clock don't change it.
func (s *Server) now() time.Duration { return s.startedAt + time.Since(s.startTime) }

// clockOrigin is the instant at which now was zero.
func (s *Server) clockOrigin() time.Time { return s.startTime.Add(-s.startedAt) }

// Serve runs the instance until ctx ends, shuts it down in the order that shutdown.go gives, and returns nil. It returns
// an error where the admin socket can't be had, or the listener fails.
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
