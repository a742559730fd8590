package server

import (
	"context"
	"path/filepath"
	"slices"
	"time"

	"github.com/fsnotify/fsnotify"
)

// watchList reads the list of boxes and begins to watch it; the function returned goes on until its context ends. The
// folder is watched rather than the file, since a file that is replaced atomically is another file.
func (s *Server) watchList() (func(context.Context) error, error) {
	if s.disco != nil {
		s.post(post{kind: list, boxes: slices.Clone(s.cfg.Endpoints)})
		return func(ctx context.Context) error {
			late := time.AfterFunc(firstList, func() { s.post(post{kind: begin}) })
			defer late.Stop()
			return s.disco.watch(ctx)
		}, nil
	}
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	path, err := filepath.Abs(s.cfg.EndpointsPath())
	if err == nil {
		err = w.Add(filepath.Dir(path))
	}
	if err != nil {
		w.Close()
		return nil, err
	}
	s.post(post{kind: list, boxes: s.placed(slices.Clone(s.cfg.Endpoints))})
	s.readList() // it may have changed since the configuration was read
	return func(ctx context.Context) error {
		defer w.Close()
		for {
			select {
			case <-ctx.Done():
				return nil
			case e, ok := <-w.Events:
				if !ok {
					return nil
				}
				if filepath.Clean(e.Name) == path && e.Op&^fsnotify.Chmod != 0 {
					s.readList()
				}
			case err, ok := <-w.Errors:
				if !ok {
					return nil
				}
				s.log.Error("watching the list of boxes", "error", err)
				s.readList() // what was missed is read
			}
		}
	}, nil
}
