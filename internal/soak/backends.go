package soak

import "time"

// receiptLog records the requests that backends receive, and has the clock of the run.
type receiptLog interface {
	now() time.Duration
	received(id string, receipt receipt)
}

// backendGroup contains the backends of a run, or of several runs that share them.
type backendGroup struct {
	members []*backend
	ended   chan struct{} // closed at the end of the run; requests that hang then end
}

// startBackends starts the backends. On an error it stops those that were started.
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
