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
	// maxFrameItems bounds the items of a frame, and with it the memory that a reader of a trace needs.
	maxFrameItems = 2048
	// frameInterval is how often recorded steps are written. A killed process loses the steps of one interval.
	frameInterval = 200 * time.Millisecond
	// traceSuffix and tracePrefix are parts of the names of trace files: door-INSTANCE-START-PART.trace.
	traceSuffix = ".trace"
	tracePrefix = "door-"
)

// recorder writes the trace of an instance's decisions. The event loop only appends steps to a bounded buffer. While the buffer
// is full, steps are dropped and counted, and the file gets the count in place of the steps. A full disk, or any other error,
// ends the recording and not the instance. A nil recorder records nothing.
type recorder struct {
	server    *Server
	cfg       config.TraceSettings
	dir       string
	stop      chan struct{} // closed by close
	done      chan struct{} // closed when the writing goroutine has ended
	firstFile *os.File

	mu      sync.Mutex // guards steps, dropped and ended
	steps   []proxy.DecisionStep
	dropped uint64 // since the steps were last taken
	ended   bool   // the recording has ended with an error

	// Used by the writing goroutine only.
	head         trace.Header
	writer       *trace.Writer
	file         *os.File
	size         int                           // of file, in bytes
	backendNames map[decision.BackendID]string // names that have been written
	droppedTotal uint64
}

// startRecorder opens the first file and attaches the recorder to the instance, before the event loop starts. It returns nil if
// no trace is configured.
func (s *Server) startRecorder(seed uint64) (*recorder, error) {
	if s.cfg.Trace.Mode == "off" {
		return nil, nil
	}
	dir := s.cfg.TraceFolder()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	writer, err := trace.NewWriter()
	if err != nil {
		return nil, err
	}
	r := &recorder{server: s, cfg: s.cfg.Trace, dir: dir, head: s.traceHeader(seed), writer: writer, stop: make(chan struct{}),
		done: make(chan struct{}), backendNames: map[decision.BackendID]string{}}
	if err := r.openNextFile(); err != nil {
		return nil, err
	}
	r.firstFile = r.file
	r.steps = append(r.steps, s.instance.InitialDecision(s.startedAt))
	s.instance.RecordDecision = r.record
	return r, nil
}

func (s *Server) traceHeader(seed uint64) trace.Header {
	head := trace.Header{Core: coreid.Core(), Config: s.cfg.Digest, Instance: s.cfg.Instance.Number, Seed: seed, StartedAt: s.startedAt,
		Origin: s.clockOrigin().UnixNano(), Settings: s.cfg.Settings, Classes: s.cfg.ClassNames, Share: 1}
	if s.cfg.Trace.Mode == "sampled" {
		head.Share = s.cfg.Trace.Share
	}
	for _, plan := range s.cfg.Plans {
		head.Plans = append(head.Plans, plan.Name)
	}
	for _, operation := range s.cfg.Routes.Operations {
		head.Operations = append(head.Operations, operation.ID)
	}
	return head
}

// startWriting starts the writing goroutine, which close ends.
func (r *recorder) startWriting() {
	if r == nil {
		return
	}
	go func() { // close waits for it
		defer close(r.done)
		r.run()
	}()
}

// close writes the buffered steps and ends the recording. It waits for the disk.
func (r *recorder) close() {
	if r == nil {
		return
	}
	close(r.stop)
	<-r.done
}

// record appends a step to the buffer. Only the event loop calls it; it does not wait for the disk.
func (r *recorder) record(step proxy.DecisionStep) {
	if !r.sampled(step) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.ended:
	case len(r.steps) >= r.cfg.Buffer:
		r.dropped++
	default:
		r.steps = append(r.steps, step)
	}
}

// sampled reports whether a step belongs to the recorded share. Requests are sampled by a hash of their number. Steps that do
// not belong to a single request are not part of a sample.
func (r *recorder) sampled(step proxy.DecisionStep) bool {
	if r.cfg.Mode != "sampled" || r.cfg.Share >= 1 {
		return true
	}
	const multiplier = 0x9E3779B97F4A7C15 // of Fibonacci hashing, which spreads consecutive numbers evenly
	id := uint64(requestOf(step.Event))
	return id != 0 && float64(id*multiplier>>11)/(1<<53) < r.cfg.Share
}

// requestOf returns the request of an event, or 0 if it has none.
func requestOf(event decision.Event) decision.RequestID {
	switch event := event.(type) {
	case decision.RequestArrived:
		return event.Request
	case decision.ClientDisconnected:
		return event.Request
	case decision.AttemptEnded:
		return event.Request
	case decision.StreamStarted:
		return event.Request
	}
	return 0
}

// run writes the buffered steps every frameInterval, until close or an error.
func (r *recorder) run() {
	defer func() { r.file.Close() }()
	ticker := time.NewTicker(frameInterval)
	defer ticker.Stop()
	for {
		last := false
		select {
		case <-ticker.C:
		case <-r.stop:
			last = true
		}
		if err := r.write(r.takeSteps()); err != nil {
			r.server.log.Error("recording has ended; the front door goes on", "error", err)
			r.end()
			return
		}
		if last {
			return
		}
	}
}

func (r *recorder) takeSteps() (steps []proxy.DecisionStep, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	steps, dropped = r.steps, r.dropped
	r.steps, r.dropped = nil, 0
	return steps, dropped
}

func (r *recorder) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.steps = true, nil
}

// write writes steps in frames, followed by the number of steps that were dropped after these had filled the buffer.
func (r *recorder) write(steps []proxy.DecisionStep, dropped uint64) error {
	var items []trace.Record
	for i := range steps {
		items = r.appendStep(items, &steps[i])
		if len(items) >= maxFrameItems && steps[i].Snapshot == nil {
			if err := r.writeItems(items); err != nil {
				return err
			}
			items = items[:0]
		}
	}
	if dropped > 0 {
		r.droppedTotal += dropped
		var at time.Duration
		if len(steps) > 0 {
			at = steps[len(steps)-1].At
		}
		items = append(items, trace.Record{At: at, Dropped: dropped})
		r.server.log.Warn("steps dropped from the trace", "steps", dropped, "in_all", r.droppedTotal)
	}
	return r.writeItems(items)
}

// appendStep appends a step, preceded by the names of backends that occur in it for the first time.
func (r *recorder) appendStep(items []trace.Record, step *proxy.DecisionStep) []trace.Record {
	if list, ok := step.Event.(decision.EndpointsChanged); ok {
		for i, name := range step.EndpointNames {
			id := list.Endpoints[i].Backend
			if r.backendNames[id] != name {
				r.backendNames[id] = name
				items = append(items, trace.Record{At: step.At, Backend: &trace.BackendName{Backend: id, Name: name}})
			}
		}
	}
	if step.Snapshot != nil {
		return append(items, trace.Record{At: step.At, Snapshot: step.Snapshot})
	}
	return append(items, trace.Record{At: step.At, Event: trace.NewEvent(step.Event), Actions: trace.NewActions(step.Actions),
		Operation: step.OperationNumber, Initial: step.Event == nil})
}

// writeItems writes items as one frame. It begins the next file if this one would grow beyond trace.file-size.
func (r *recorder) writeItems(items []trace.Record) error {
	if len(items) == 0 {
		return nil
	}
	frame, err := r.writer.Frame(items)
	if err != nil {
		return err
	}
	if r.size+len(frame) > int(r.cfg.FileSize) {
		r.head.Part++
		r.file.Close()
		if err := r.openNextFile(); err != nil {
			return err
		}
	}
	return r.writeFrame(frame)
}

func (r *recorder) writeFrame(frame []byte) error {
	n, err := r.file.Write(frame)
	r.size += n
	return err
}

// openNextFile begins a file with the header and the names of all backends, and removes the oldest files beyond trace.most.
func (r *recorder) openNextFile() error {
	name := fmt.Sprintf("%s%d-%s-%03d%s", tracePrefix, r.head.Instance, r.server.startTime.UTC().Format("20060102T150405.000"),
		r.head.Part, traceSuffix)
	file, err := os.OpenFile(filepath.Join(r.dir, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	head, err := r.writer.Begin(r.head)
	if err == nil {
		_, err = file.Write(head)
	}
	if err != nil {
		file.Close()
		return err
	}
	r.file, r.size = file, len(head)
	for id, name := range r.backendNames {
		frame, err := r.writer.Frame([]trace.Record{{Backend: &trace.BackendName{Backend: id, Name: name}}})
		if err != nil {
			return err
		}
		if err := r.writeFrame(frame); err != nil {
			return err
		}
	}
	return r.removeOldFiles()
}

// traceFile is a file in the folder of traces, other than the current one.
type traceFile struct {
	name string
	size int64 // bytes
}

// order returns the sort key of a trace file: the start time of its process and its part, regardless of the instance.
func (f traceFile) order() string {
	_, order, _ := strings.Cut(strings.TrimPrefix(f.name, tracePrefix), "-")
	return order
}

// removeOldFiles removes the oldest files of the folder until the others, together with the current file at its full size, fit
// into trace.most.
func (r *recorder) removeOldFiles() error {
	files, err := r.otherFiles()
	if err != nil {
		return err
	}
	total := int64(r.cfg.FileSize)
	for _, f := range files {
		total += f.size
	}
	for _, f := range files {
		if total <= int64(r.cfg.MaxTotalSize) {
			break
		}
		if err := os.Remove(filepath.Join(r.dir, f.name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		total -= f.size
	}
	return nil
}

// otherFiles returns the trace files of the folder except the current one, oldest first.
func (r *recorder) otherFiles() ([]traceFile, error) {
	entries, err := os.ReadDir(r.dir)
	if err != nil {
		return nil, err
	}
	var files []traceFile
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), traceSuffix) || filepath.Join(r.dir, e.Name()) == r.file.Name() {
			continue
		}
		if info, err := e.Info(); err == nil { // a file that was removed meanwhile is skipped
			files = append(files, traceFile{e.Name(), info.Size()})
		}
	}
	slices.SortFunc(files, func(a, b traceFile) int { return strings.Compare(a.order(), b.order()) })
	return files, nil
}
