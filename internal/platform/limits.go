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
	maxBody               = 64 << 10               // bytes of a request's or response's body, as the protocol says
	maxHead               = 16 << 10               // bytes of a head: the protocol's fields take less than one KiB
	maxFields             = 64                     // of a head: the protocol has seven
	eventQueue            = 2048                   // messages of the event loop: at half of it accepting pauses, beyond it requests get 503
	defaultDescriptors    = 4096                   // where the configuration has no limit
	clientShare           = 0.5                    // of the descriptors, for clients' connections
	backendShare          = 0.3                    // of the descriptors, for backend connections; the rest is for all else
	bodyMemoryDivisor     = 4                      // a quarter of the memory may hold bodies; the rest is the process's own
	idleShare             = 0.6                    // of the time after which a backend closes an idle connection, so that we are first
	requestTimeout        = 2 * time.Second        // for a request to be complete; the platform wants slow senders to get an end within 3 s
	writeTimeout          = 3 * time.Second        // for 64 KiB, which no client that reads takes longer for
	clientIdleTimeout     = 30 * time.Second       // a client's connection without a request
	streamIdleTimeout     = 30 * time.Second       // a response that flows without a byte; none does here
	maxShutdownDeadline   = 3 * time.Second        // as which a longer deadline of a class counts in the platform's earliest kill
	killDelay             = 700 * time.Millisecond // from SIGTERM to the earliest kill, beside the longest deadline
	shutdownMargin        = 50 * time.Millisecond  // before the earliest kill, for the last answers to be written
	responseMargin        = 12 * time.Millisecond  // kept off a client's deadline for the response to reach it
	reuseDelay            = 20 * time.Millisecond  // between requests on a backend connection, so that bytes behind a response are seen
	defaultCounterTimeout = 50 * time.Millisecond  // of a call to the counter, where the settings have no time
	counterMaxPending     = 1024                   // calls to the counter in flight
	stopDelay             = 600 * time.Millisecond // after SIGTERM, for which the platform still sends new connections
)

// newConfig is the configuration of the instance in the form that the runtime has.
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

// shutdownTimeout is how long after SIGTERM all requests have to be answered: just before the platform's earliest kill.
func shutdownTimeout(classes []sitesettings.Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxShutdownDeadline) + killDelay - shutdownMargin
}

// runtime works out the runtime's limits from those of the processes and from how long backends take to connect and keep
// an idle connection.
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
		NonIdempotentIdle:  0, // such a request always gets a new connection: a reset on a kept one would leave open whether it ran
		ReuseDelay:         strictyaml.Duration(reuseDelay),
		ResponseMargin:     strictyaml.Duration(responseMargin),
		StreamIdleTimeout:  strictyaml.Duration(streamIdleTimeout),
		StopDelay:          strictyaml.Duration(stopDelay),
	}
}

// connections are how many connections to clients and to backends the descriptors allow.
func (l Limits) connections() (clients, backends int) {
	descriptors := l.Sockets
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	return max(4, int(clientShare*float64(descriptors))), max(2, int(backendShare*float64(descriptors)))
}

// bodyMemory is how many bytes of bodies may be held.
func (l Limits) bodyMemory() strictyaml.Size {
	if l.MemoryMB == 0 {
		return math.MaxInt32 // bytes; no limit is set, and this is more than an instance holds
	}
	return strictyaml.Size(int64(l.MemoryMB) << 20 / bodyMemoryDivisor)
}
