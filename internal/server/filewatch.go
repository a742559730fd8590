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

// maxEndpointsFilePoll is the longest interval between two checks of the endpoint file for changes.
const maxEndpointsFilePoll = 50 * time.Millisecond

// endpointsFilePoll returns the interval between two checks of the endpoint file: short compared with the drain grace, as that of the
// dials of discovery.
func endpointsFilePoll(drainGrace time.Duration) time.Duration {
	return min(maxEndpointsFilePoll, watchBackoffLimit(drainGrace))
}

// endpointWatchFunc watches the endpoint list until its context ends.
type endpointWatchFunc func(context.Context)

// startEndpointWatch passes the configured endpoint list to the instance and returns the function that watches its changes at
// discovery or in a file.
func (s *Server) startEndpointWatch() endpointWatchFunc {
	if s.discovery != nil {
		s.postEndpoints(endpointsReplaced{s.endpointsUpdate(slices.Clone(s.cfg.Endpoints))})
		return s.discovery.run
	}
	changes := fileChangeDetector{path: s.cfg.EndpointsPath()}
	changes.poll()
	s.postEndpoints(endpointsReplaced{s.endpointsUpdate(s.withBackendAddresses(slices.Clone(s.cfg.Endpoints)))})
	s.readEndpointsFile(reportAlways) // the file may have changed since the configuration was read
	return func(ctx context.Context) { s.watchEndpointsFile(ctx, &changes) }
}

// watchEndpointsFile reads the file after each change, until its context ends. It polls instead of using inotify: on a busy
// machine the kernel can take many seconds to close an inotify descriptor, and the process does not end before that.
func (s *Server) watchEndpointsFile(ctx context.Context, changes *fileChangeDetector) {
	ticker := time.NewTicker(endpointsFilePoll(s.cfg.Settings.DrainGrace))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if changes.poll() {
				s.readEndpointsFile(reportIfChanged)
			}
		}
	}
}

// fileChangeDetector detects whether a file has changed since the last poll.
type fileChangeDetector struct {
	path      string
	last      os.FileInfo // nil: there was no file
	pollAgain bool        // the file had changed at the last poll
}

// poll reports whether the file may have changed. After a change it also returns true at the next poll, since a second write
// within the same tick of the file system's clock does not change the modification time.
func (c *fileChangeDetector) poll() bool {
	info, err := os.Stat(c.path)
	if err != nil {
		info = nil
	}
	changed := !isSameVersion(c.last, info)
	mayHaveChanged := changed || c.pollAgain
	c.last, c.pollAgain = info, changed
	return mayHaveChanged
}

// isSameVersion reports whether two results of os.Stat for a path show the same file, unchanged between them.
func isSameVersion(a, b os.FileInfo) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return os.SameFile(a, b) && a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}

// reportPolicy states whether the endpoint list is passed to the event loop even if the file has not changed since it was last
// read.
type reportPolicy bool

const (
	reportAlways    reportPolicy = true
	reportIfChanged reportPolicy = false
)

// readEndpointsFile reads the endpoint file in a separate goroutine, so it does not block. If the file is missing or invalid,
// the current list stays in force.
func (s *Server) readEndpointsFile(report reportPolicy) {
	s.goroutines.Go(func() {
		path := s.cfg.EndpointsPath()
		count, queued, err := s.loadEndpointsFile(path, report)
		switch { // logged without endpointsFileMu: a slow log must not delay the next read
		case err != nil:
			s.log.Error("list of boxes: the last one stays in force", "error", err)
		case queued:
			s.log.Info("list of boxes", "file", path, "boxes", count)
		}
	})
}

// loadEndpointsFile reads the endpoint file and queues the list for the event loop, in the order of the reads, unless the
// policy excludes it. It returns the number of endpoints, and whether the list was queued.
func (s *Server) loadEndpointsFile(path string, report reportPolicy) (count int, queued bool, err error) {
	s.endpointsFileMu.Lock()
	defer s.endpointsFileMu.Unlock()
	text, err := os.ReadFile(path)
	if report == reportIfChanged && s.endpointsFileRead == (err == nil) && bytes.Equal(text, s.endpointsFileText) {
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

// endpointsUpdate returns an update with endpoints and the origin of the instance's clock.
func (s *Server) endpointsUpdate(endpoints []config.Endpoint) proxy.EndpointsUpdate {
	return proxy.EndpointsUpdate{Endpoints: endpoints, Origin: s.clockOrigin()}
}

// withBackendAddresses replaces the addresses of the endpoints that Options.BackendAddresses lists.
func (s *Server) withBackendAddresses(endpoints []config.Endpoint) []config.Endpoint {
	for i := range endpoints {
		if addr, ok := s.backendAddresses[endpoints[i].Name]; ok {
			endpoints[i].Address = addr
		}
	}
	return endpoints
}
