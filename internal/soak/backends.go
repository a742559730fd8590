package soak

import "time"

// receiptLog takes what backends receive, and has the clock of the run.
type receiptLog interface {
	now() time.Duration
	received(id string, receipt receipt)
}

// backendGroup is the backends of a run, or of several that share them.
type backendGroup struct {
	members []*backend
	ended   chan struct{} // closed at the end: what hangs ends
}

// startBackends starts backends. What started before an error ends.
func startBackends(log receiptLog) (*backendGroup, error) {
	group := &backendGroup{ended: make(chan struct{})}
	for i := range backendCount {
		backend, err := startBackend(i, log, group.ended)
		if err != nil {
			group.close()
			return nil, err
		}
		group.members = append(group.members, backend)
	}
	return group, nil
}

func (g *backendGroup) close() {
	close(g.ended)
	for _, backend := range g.members {
		backend.listener.Close()
	}
}
