package server

import (
	"bytes"
	"context"
	"os"
	"slices"
	"time"

	"sandyard/config"
	"sandyard/proxy"
)

// endpointsFilePoll is how often the endpoint file is looked at: short beside a drain grace.
const endpointsFilePoll = 50 * time.Millisecond

// endpointWatchFunc follows the endpoint list until its context ends.
type endpointWatchFunc func(context.Context)

// startEndpointWatch hands the configured endpoint list to the instance and returns what follows its changes, at
// discovery or in a file.
func (s *Server) startEndpointWatch() endpointWatchFunc {
	if s.discovery != nil {
		s.postEndpoints(endpointsReplaced{s.endpointsUpdate(slices.Clone(s.cfg.Endpoints))})
		return s.discovery.run
	}
	changes := fileChanges{path: s.cfg.EndpointsPath()}
	changes.poll()
	s.postEndpoints(endpointsReplaced{s.endpointsUpdate(s.withBackendAddresses(slices.Clone(s.cfg.Endpoints)))})
	s.readEndpointsFile(alwaysReported) // it may have changed since the configuration was read
	return func(ctx context.Context) { s.followEndpointsFile(ctx, &changes) }
}

// followEndpointsFile reads the file after each change, until its context ends. It polls: the kernel can take many seconds
// to close an inotify descriptor on a busy machine, and a process that has one does not end before that.
func (s *Server) followEndpointsFile(ctx context.Context, changes *fileChanges) {
	ticker := time.NewTicker(endpointsFilePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if changes.poll() {
				s.readEndpointsFile(reportedIfNew)
			}
		}
	}
}

// fileChanges tells whether a file has changed since the last poll.
type fileChanges struct {
	path      string
	last      os.FileInfo // nil: there was no file
	pollAgain bool        // the file had changed at the last poll
}

// poll reports whether the file may have changed. After a change it does so twice: a write within the same tick of the file
// system's clock as the one before it leaves the modification time as it is.
func (c *fileChanges) poll() bool {
	info, err := os.Stat(c.path)
	if err != nil {
		info = nil
	}
	changed := !isSameVersion(c.last, info)
	mayHaveChanged := changed || c.pollAgain
	c.last, c.pollAgain = info, changed
	return mayHaveChanged
}

// isSameVersion reports whether two looks at a path found the same file, not written to between them.
func isSameVersion(a, b os.FileInfo) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return os.SameFile(a, b) && a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}

// fileReport says whether a reading of the endpoint file is handed over where the file is as it was at the reading before.
type fileReport bool

const (
	alwaysReported fileReport = true
	reportedIfNew  fileReport = false
)

// readEndpointsFile reads the endpoint file in a goroutine of its own: it does not block. A file that is broken or missing
// leaves the list as it was.
func (s *Server) readEndpointsFile(report fileReport) {
	s.goroutines.Go(func() {
		path := s.cfg.EndpointsPath()
		count, isNew, err := s.takeEndpointsFile(path, report)
		switch { // logged after the handing over: a log that is held up must not hold up the next reading
		case err != nil:
			s.log.Error("list of boxes: the last one stays in force", "error", err)
		case isNew:
			s.log.Info("list of boxes", "file", path, "boxes", count)
		}
	})
}

// takeEndpointsFile reads the endpoint file and hands the list over, in the order of the readings, unless it is not to be
// reported. It returns the number of endpoints.
func (s *Server) takeEndpointsFile(path string, report fileReport) (count int, isNew bool, err error) {
	s.endpointsFileMu.Lock()
	defer s.endpointsFileMu.Unlock()
	text, err := os.ReadFile(path)
	if report == reportedIfNew && s.endpointsFileRead == (err == nil) && bytes.Equal(text, s.endpointsFileText) {
		return 0, false, nil
	}
	s.endpointsFileText, s.endpointsFileRead = text, err == nil
	var endpoints []config.Endpoint
	if err == nil {
		endpoints, err = config.ParseEndpoints(path, text)
	}
	if err != nil {
		s.postEndpoints(endpointPollFailed{})
		return 0, false, err
	}
	s.postEndpoints(endpointsReplaced{s.endpointsUpdate(s.withBackendAddresses(endpoints))})
	return len(endpoints), true, nil
}

// endpointsUpdate is an update that names endpoints.
func (s *Server) endpointsUpdate(endpoints []config.Endpoint) proxy.EndpointsUpdate {
	return proxy.EndpointsUpdate{Endpoints: endpoints, Origin: s.clockOrigin()}
}

// withBackendAddresses replaces the addresses of endpoints that Options.BackendAddresses has elsewhere.
func (s *Server) withBackendAddresses(endpoints []config.Endpoint) []config.Endpoint {
	for i := range endpoints {
		if addr, ok := s.backendAddresses[endpoints[i].Name]; ok {
			endpoints[i].Address = addr
		}
	}
	return endpoints
}
