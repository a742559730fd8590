package platform

import (
	"math"
	"time"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/sitesettings"
	"sandyard/internal/strictyaml"
)

const (
	maxBody               = 64 << 10               // bytes in the body of a request or response, as defined by the protocol
	maxHead               = 16 << 10               // bytes in a head: the protocol's fields take less than one KiB
	maxFields             = 64                     // fields in a head: the protocol has seven
	eventQueue            = 2048                   // messages in the event loop's queue; accepting pauses at half of it, and requests get 503 beyond it
	defaultDescriptors    = 4096                   // file descriptors, if the configuration has no limit
	clientShare           = 0.5                    // share of the descriptors for client connections
	backendShare          = 0.3                    // share of the descriptors for backend connections; the rest is for other uses
	programPages          = 20 << 20               // bytes; resident pages of the program's file, which the platform counts as memory
	minHeapDivisor        = 4                      // at least a quarter of a small memory limit is for the heap
	heapShare             = 0.9                    // share of the memory besides programPages for the Go runtime; the rest is for sockets in the kernel
	bodyMemoryDivisor     = 4                      // a quarter of the memory besides programPages may hold bodies and other input of clients
	idleShare             = 0.6                    // share of the backend's idle timeout, so that the instance closes an idle connection first
	requestTimeout        = 2 * time.Second        // to receive a request; the platform requires that slow senders are cut off within 3 s
	writeTimeout          = 3 * time.Second        // to write 64 KiB; a client that reads needs less
	clientIdleTimeout     = 30 * time.Second       // for a client connection without a request
	streamIdleTimeout     = 30 * time.Second       // for a streamed response without new bytes; only a streaming class has such responses here
	maxShutdownDeadline   = 3 * time.Second        // longest class deadline for which the platform delays its earliest SIGKILL
	killDelay             = 700 * time.Millisecond // from SIGTERM to the earliest SIGKILL, in addition to the longest class deadline
	shutdownMargin        = 50 * time.Millisecond  // before the earliest SIGKILL, to write the last answers
	responseMargin        = 12 * time.Millisecond  // before a client's deadline, for the response to reach the client
	reuseDelay            = 20 * time.Millisecond  // between requests on a backend connection, to detect extra bytes after a response
	defaultCounterTimeout = 50 * time.Millisecond  // of a call to the counter, if the settings have no timeout
	counterMaxPending     = 1024                   // calls to the counter in flight
	stopDelay             = 600 * time.Millisecond // from SIGTERM until accepting ends; the platform still opens new connections in this time
)

// newConfig returns the configuration of the instance in the runtime's form.
func (n *Node) newConfig(s *sitesettings.Settings, counter string) *config.Config {
	c := &config.Config{Settings: s.Decision(), Endpoints: n.CachedEndpoints.Endpoints}
	c.Trace.Mode, c.Log.Level = "off", "info"
	for i, class := range s.Classes {
		c.ClassNames = append(c.ClassNames, class.Name)
		c.ClassByOperation = append(c.ClassByOperation, decision.ClassID(i))
	}
	c.Zones = s.ZoneNames
	c.Instance.Number, c.Instance.Total = s.Instance.Number, s.Instance.Total
	c.RetryAfter.Enabled = s.RetryAfter.Enabled
	if s.Counter.Enabled {
		c.Counter.Address = counter
	}
	c.Counter.MaxPending = counterMaxPending
	c.Counter.Timeout = strictyaml.Duration(s.Counter.Timeout)
	if s.Counter.Timeout <= 0 {
		c.Counter.Timeout = strictyaml.Duration(defaultCounterTimeout)
	}
	c.Limits = n.Limits.runtime(s.ConnectTimeout, s.IdleTimeout)
	c.Limits.ShutdownTimeout = strictyaml.Duration(shutdownTimeout(s.Classes))
	return c
}

// shutdownTimeout returns the time after SIGTERM within which all requests must be answered: just before the platform's
// earliest SIGKILL.
func shutdownTimeout(classes []sitesettings.Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxShutdownDeadline) + killDelay - shutdownMargin
}

// runtime derives the runtime's limits from the resource limits, the connect timeout and the time after which backends close
// idle connections.
func (l Limits) runtime(connectTimeout, backendIdle time.Duration) config.Limits {
	clients, backends := l.connections()
	return config.Limits{
		Connections:        clients,
		BackendConns:       backends,
		ConnsPerBackend:    backends,
		Queue:              eventQueue,
		Memory:             l.bodyMemory(),
		Body:               maxBody,
		Head:               maxHead,
		Fields:             maxFields,
		HoldResponse:       maxBody,
		Response:           maxBody,
		FirstTimeout:       strictyaml.Duration(requestTimeout),
		HeadTimeout:        strictyaml.Duration(requestTimeout),
		BodyTimeout:        strictyaml.Duration(requestTimeout),
		WriteTimeout:       strictyaml.Duration(writeTimeout),
		IdleTimeout:        strictyaml.Duration(clientIdleTimeout),
		ConnectTimeout:     strictyaml.Duration(connectTimeout),
		BackendIdleTimeout: strictyaml.Duration(idleShare * float64(backendIdle)),
		NonIdempotentIdle:  0, // such a request always gets a new connection: after a reset on a reused one it is unknown whether it ran
		ReuseDelay:         strictyaml.Duration(reuseDelay),
		ResponseMargin:     strictyaml.Duration(responseMargin),
		StreamIdleTimeout:  strictyaml.Duration(streamIdleTimeout),
		StopDelay:          strictyaml.Duration(stopDelay),
	}
}

// connections returns how many client and backend connections the file descriptors allow.
func (l Limits) connections() (clients, backends int) {
	descriptors := l.Sockets
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	return max(4, int(clientShare*float64(descriptors))), max(2, int(backendShare*float64(descriptors)))
}

// usableMemory returns the memory besides the pages of the program's file (bytes).
func (l Limits) usableMemory() int64 {
	memory := int64(l.MemoryMB) << 20
	return max(memory/minHeapDivisor, memory-programPages)
}

// RuntimeMemory returns the limit of the Go runtime's memory (bytes), or 0 if there is none.
func (l Limits) RuntimeMemory() int64 {
	return int64(heapShare * float64(l.usableMemory()))
}

// bodyMemory returns the memory for bodies and other input of clients (bytes).
func (l Limits) bodyMemory() strictyaml.Size {
	if l.MemoryMB == 0 {
		return math.MaxInt32 // bytes; no limit is set, and this is more than an instance uses
	}
	return strictyaml.Size(l.usableMemory() / bodyMemoryDivisor)
}
