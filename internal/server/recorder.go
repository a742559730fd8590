package server

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"sandyard/config"
	"sandyard/coreid"
	"sandyard/decision"
	"sandyard/proxy"
	"sandyard/trace"
)

const (
	maxFrameItems = 2048                   // steps in a frame at most
	frameInterval = 200 * time.Millisecond // until what there is is written
)

// recorder writes a front door's trace. The core's goroutine only appends to a bounded buffer; steps that find it full
// are dropped and counted, and the count stands in the file where they are missing. A disk that is full, or any other
// error, ends the recording and not the front door.
type recorder struct {
	server *Server
	cfg    config.Trace
	dir    string
	head   trace.Header
	stop   chan struct{}
	done   chan struct{}

	firstFile *os.File // the first file

	mu      sync.Mutex
	steps   []proxy.DecisionStep
	dropped uint64
	ended   bool

	// of the writing goroutine
	writer       *trace.Writer
	file         *os.File
	size         int
	backendNames map[decision.BackendID]string
	droppedTotal uint64
}

func (s *Server) startRecorder(seed uint64) (*recorder, error) {
	t := s.cfg.Trace
	if t.Mode == "off" {
		return nil, nil
	}
	dir := s.cfg.TraceFolder()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	w, err := trace.NewWriter()
	if err != nil {
		return nil, err
	}
	r := &recorder{server: s, cfg: t, dir: dir, writer: w, stop: make(chan struct{}), done: make(chan struct{}), backendNames: map[decision.BackendID]string{}}
	r.head = trace.Header{Core: coreid.Core(), Config: s.cfg.Digest, Instance: s.cfg.Instance.Number, Seed: seed, StartedAt: s.startedAt,
		Origin: s.clockOrigin().UnixNano(), Settings: s.cfg.Settings, Classes: s.cfg.ClassNames, Share: 1}
	if t.Mode == "sampled" {
		r.head.Share = t.Share
	}
	for _, p := range s.cfg.Plans {
		r.head.Plans = append(r.head.Plans, p.Name)
	}
	for _, op := range s.cfg.Routes.Operations {
		r.head.Operations = append(r.head.Operations, op.ID)
	}
	if err := r.openNextFile(); err != nil {
		return nil, err
	}
	r.firstFile = r.file
	r.steps = append(r.steps, s.instance.InitialDecision(s.startedAt))
	s.instance.RecordDecision = r.record
	return r, nil
}

// startWriting starts the writing; close ends it.
func (r *recorder) startWriting() {
	if r != nil {
		go func() { // its owner waits for it in close
			defer close(r.done)
			r.run()
		}()
	}
}

// requestOf is the one that a step is about, 0 if none.
func requestOf(e decision.Event) decision.RequestID {
	switch e := e.(type) {
	case decision.RequestArrived:
		return e.Request
	case decision.ClientDisconnected:
		return e.Request
	case decision.AttemptEnded:
		return e.Request
	case decision.StreamStarted:
		return e.Request
	}
	return 0
}

// record takes a step in; the core's goroutine calls it.
func (r *recorder) record(st proxy.DecisionStep) {
	if r.head.Share < 1 { // a sample is of requests, drawn by their number; what concerns no one request is left out
		id := uint64(requestOf(st.Event))
		if id == 0 || float64(id*0x9E3779B97F4A7C15>>11)/(1<<53) >= r.head.Share {
			return
		}
	}
	r.mu.Lock()
	switch {
	case r.ended:
	case len(r.steps) >= r.cfg.Buffer:
		r.dropped++
	default:
		r.steps = append(r.steps, st)
	}
	r.mu.Unlock()
}

func (r *recorder) run() {
	t := time.NewTicker(frameInterval)
	defer t.Stop()
	for {
		last := false
		select {
		case <-t.C:
		case <-r.stop:
			last = true
		}
		r.mu.Lock()
		steps, dropped := r.steps, r.dropped
		r.steps, r.dropped = nil, 0
		r.mu.Unlock()
		if err := r.write(steps, dropped); err != nil {
			r.server.log.Error("recording has ended; the front door goes on", "error", err)
			r.mu.Lock()
			r.ended, r.steps = true, nil
			r.mu.Unlock()
			last = true
		}
		if last {
			r.file.Close()
			return
		}
	}
}

func (r *recorder) write(steps []proxy.DecisionStep, dropped uint64) error {
	var items []trace.Record
	flush := func() error {
		if len(items) == 0 {
			return nil
		}
		b, err := r.writer.Frame(items)
		if err != nil {
			return err
		}
		items = items[:0]
		if r.size+len(b) > int(r.cfg.FileSize) {
			r.head.Part++
			r.file.Close()
			if err := r.openNextFile(); err != nil {
				return err
			}
		}
		n, err := r.file.Write(b)
		r.size += n
		return err
	}
	for i := range steps {
		st := &steps[i]
		if list, ok := st.Event.(decision.EndpointsChanged); ok {
			for k, name := range st.EndpointNames {
				if id := list.Endpoints[k].Backend; r.backendNames[id] != name {
					r.backendNames[id] = name
					items = append(items, trace.Record{At: st.At, Backend: &trace.BackendName{Backend: id, Name: name}})
				}
			}
		}
		if st.Snapshot != nil {
			items = append(items, trace.Record{At: st.At, Snapshot: st.Snapshot})
			continue
		}
		items = append(items, trace.Record{At: st.At, Event: trace.NewEvent(st.Event), Actions: trace.NewActions(st.Actions), Operation: st.OperationNumber,
			Initial: st.Event == nil})
		if len(items) >= maxFrameItems {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	if dropped > 0 { // they were dropped behind those that had filled the buffer
		r.droppedTotal += dropped
		var at time.Duration
		if len(steps) > 0 {
			at = steps[len(steps)-1].At
		}
		items = append(items, trace.Record{At: at, Dropped: dropped})
		r.server.log.Warn("steps dropped from the trace", "steps", dropped, "in_all", r.droppedTotal)
	}
	return flush()
}

// openNextFile begins a file, and removes the oldest of this folder's while there are more bytes than allowed.
func (r *recorder) openNextFile() error {
	name := fmt.Sprintf("door-%d-%s-%03d.trace", r.head.Instance, r.server.startTime.UTC().Format("20060102T150405.000"), r.head.Part)
	f, err := os.OpenFile(filepath.Join(r.dir, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	b, err := r.writer.Begin(r.head)
	if err == nil {
		_, err = f.Write(b)
	}
	if err != nil {
		f.Close()
		return err
	}
	r.file, r.size = f, len(b)
	for id, name := range r.backendNames { // each file names its boxes
		b, err := r.writer.Frame([]trace.Record{{Backend: &trace.BackendName{Backend: id, Name: name}}})
		if err != nil {
			return err
		}
		if _, err := f.Write(b); err != nil {
			return err
		}
		r.size += len(b)
	}
	return r.prune()
}

func (r *recorder) prune() error {
	entries, err := os.ReadDir(r.dir)
	if err != nil {
		return err
	}
	var names []string
	sizes, total := map[string]int64{}, int64(r.cfg.FileSize) // for the one that is begun
	for _, e := range entries {
		if info, err := e.Info(); err == nil && strings.HasSuffix(e.Name(), ".trace") && filepath.Join(r.dir, e.Name()) != r.file.Name() {
			names = append(names, e.Name())
			sizes[e.Name()] = info.Size()
			total += info.Size()
		}
	}
	slices.SortFunc(names, func(a, b string) int { // by time of start and part, whatever door
		_, x, _ := strings.Cut(strings.TrimPrefix(a, "door-"), "-")
		_, y, _ := strings.Cut(strings.TrimPrefix(b, "door-"), "-")
		return strings.Compare(x, y)
	})
	for len(names) > 0 && total > int64(r.cfg.MaxTotalSize) {
		if err := os.Remove(filepath.Join(r.dir, names[0])); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		total -= sizes[names[0]]
		names = names[1:]
	}
	return nil
}

func (r *recorder) close() {
	if r != nil {
		close(r.stop)
		<-r.done
	}
}
