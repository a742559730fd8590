package server

import (
	"context"
	"os"
	"path/filepath"
	"slices"

	"github.com/fsnotify/fsnotify"

	"sandyard/config"
	"sandyard/proxy"
)

// endpointWatchFunc follows the endpoint list until its context ends.
type endpointWatchFunc func(context.Context)

// startEndpointWatch hands the configured endpoint list to the instance and returns what follows its changes, at
// discovery or in a file.
func (s *Server) startEndpointWatch() (endpointWatchFunc, error) {
	if s.discovery != nil {
		s.postEndpoints(endpointsReplaced{s.endpointsUpdate(slices.Clone(s.cfg.Endpoints))})
		return s.discovery.run, nil
	}
	path, err := filepath.Abs(s.cfg.EndpointsPath())
	if err != nil {
		return nil, err
	}
	watcher, err := watchFolder(filepath.Dir(path))
	if err != nil {
		return nil, err
	}
	s.postEndpoints(endpointsReplaced{s.endpointsUpdate(s.withBackendAddresses(slices.Clone(s.cfg.Endpoints)))})
	s.readEndpointsFile() // it may have changed since the configuration was read
	return func(ctx context.Context) {
		defer watcher.Close()
		s.followEndpointsFile(ctx, watcher, path)
	}, nil
}

// watchFolder watches a folder rather than a file in it: a file that is replaced atomically is another file, and a watch
// of the old one would notice no further change.
func watchFolder(folder string) (*fsnotify.Watcher, error) {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	if err := watcher.Add(folder); err != nil {
		watcher.Close()
		return nil, err
	}
	return watcher, nil
}

// followEndpointsFile reads the file after each change, until its context ends.
func (s *Server) followEndpointsFile(ctx context.Context, watcher *fsnotify.Watcher, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case event, ok := <-watcher.Events:
			if !ok {
				return
			}
			if filepath.Clean(event.Name) == path && event.Op&^fsnotify.Chmod != 0 {
				s.readEndpointsFile()
			}
		case err, ok := <-watcher.Errors:
			if !ok {
				return
			}
			s.log.Error("watching the list of boxes", "error", err)
			s.readEndpointsFile() // what was missed is read
		}
	}
}

// readEndpointsFile reads the endpoint file in a goroutine of its own: it does not block. A file that is broken or missing
// leaves the list as it was.
func (s *Server) readEndpointsFile() {
	s.goroutines.Go(func() {
		path := s.cfg.EndpointsPath()
		count, err := s.takeEndpointsFile(path)
		if err != nil { // logged after the handing over: a log that is held up must not hold up the next reading
			s.log.Error("list of boxes: the last one stays in force", "error", err)
			return
		}
		s.log.Info("list of boxes", "file", path, "boxes", count)
	})
}

// takeEndpointsFile reads the endpoint file and hands the list over, in the order of the readings, and returns the number of
// endpoints.
func (s *Server) takeEndpointsFile(path string) (count int, err error) {
	s.endpointsFileMu.Lock()
	defer s.endpointsFileMu.Unlock()
	endpoints, err := loadEndpoints(path)
	if err != nil {
		s.postEndpoints(endpointPollFailed{})
		return 0, err
	}
	s.postEndpoints(endpointsReplaced{s.endpointsUpdate(s.withBackendAddresses(endpoints))})
	return len(endpoints), nil
}

// endpointsUpdate is an update that names endpoints.
func (s *Server) endpointsUpdate(endpoints []config.Endpoint) proxy.EndpointsUpdate {
	return proxy.EndpointsUpdate{Endpoints: endpoints, Origin: s.clockOrigin()}
}

func loadEndpoints(path string) ([]config.Endpoint, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return config.ParseEndpoints(path, text)
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
