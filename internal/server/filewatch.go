package server

import (
	"context"
	"path/filepath"
	"slices"
	"time"

	"github.com/fsnotify/fsnotify"
)

// startEndpointWatch reads the list of boxes and begins to watch it; the function returned goes on until its context ends. The
// folder is watched rather than the file, since a file that is replaced atomically is another file.
func (s *Server) startEndpointWatch() (func(context.Context) error, error) {
	if s.discovery != nil {
		s.post(post{kind: list, boxes: slices.Clone(s.cfg.Endpoints)})
		return func(ctx context.Context) error {
			late := time.AfterFunc(firstEndpointsTimeout, func() { s.post(post{kind: begin}) })
			defer late.Stop()
			return s.discovery.run(ctx)
		}, nil
	}
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	path, err := filepath.Abs(s.cfg.EndpointsPath())
	if err == nil {
		err = watcher.Add(filepath.Dir(path))
	}
	if err != nil {
		watcher.Close()
		return nil, err
	}
	s.post(post{kind: list, boxes: s.withBackendAddresses(slices.Clone(s.cfg.Endpoints))})
	s.readEndpointsFile() // it may have changed since the configuration was read
	return func(ctx context.Context) error {
		defer watcher.Close()
		for {
			select {
			case <-ctx.Done():
				return nil
			case e, ok := <-watcher.Events:
				if !ok {
					return nil
				}
				if filepath.Clean(e.Name) == path && e.Op&^fsnotify.Chmod != 0 {
					s.readEndpointsFile()
				}
			case err, ok := <-watcher.Errors:
				if !ok {
					return nil
				}
				s.log.Error("watching the list of boxes", "error", err)
				s.readEndpointsFile() // what was missed is read
			}
		}
	}, nil
}
