package server

import (
	"sandyard/config"
	"sandyard/decision"
	"sandyard/internal/platform"
	"sandyard/internal/tcpinfo"
	"sandyard/proxy"
)

// handleMessage queues a message of discovery for the event loop. It logs entries that can't be parsed; the current endpoints
// of their hosts stay in force. It returns an error if the message as a whole can't be parsed.
func (w *endpointWatch) handleMessage(socket *socket, text []byte) error {
	update, err := platform.ParseEndpointList(text)
	if err != nil {
		return err
	}
	if !update.Full && update.Version < w.version {
		w.server.log.Warn("list of boxes: changes of an older version are dropped", "seq", update.Version, "held", w.version)
		return nil
	}
	endpoints := update.Endpoints
	if update.Full {
		endpoints = append(endpoints, w.currentEndpoints(update.Malformed)...)
	}
	departed := w.updateEndpoints(endpoints, update.Full)
	w.version = update.Version
	w.readVersion.Store(update.Version)
	confirmed := w.confirmation(socket, departed)
	change := proxy.EndpointsUpdate{Endpoints: endpoints, Origin: w.server.clockOrigin()}
	if update.Full {
		w.server.postEndpoints(endpointsReplaced{change}, confirmed)
	} else {
		w.server.postEndpoints(endpointsUpdated{change}, confirmed)
	}
	for _, invalid := range update.Malformed { // logged after the update is queued, which a slow log must not delay
		w.server.log.Warn("list of boxes: an entry is not taken", "seq", update.Version, "error", invalid.Err)
	}
	w.server.log.Info("list of boxes", "seq", update.Version, "whole", update.Full, "entries", len(endpoints))
	return nil
}

// currentEndpoints returns the current endpoints of the hosts whose new entries can't be parsed.
func (w *endpointWatch) currentEndpoints(malformed []platform.EndpointError) (current []config.Endpoint) {
	for _, invalid := range malformed {
		if endpoint, ok := w.endpoints[invalid.Host]; ok {
			current = append(current, endpoint)
		}
	}
	return current
}

// updateEndpoints applies a message to endpoints, and returns the addresses of the endpoints that it takes out of use.
func (w *endpointWatch) updateEndpoints(endpoints []config.Endpoint, full bool) (departed []string) {
	before := w.endpoints
	if full {
		w.endpoints = make(map[string]config.Endpoint, len(endpoints))
	} else {
		before = make(map[string]config.Endpoint, len(endpoints))
		for _, e := range endpoints {
			before[e.Name] = w.endpoints[e.Name]
		}
	}
	for _, e := range endpoints {
		w.endpoints[e.Name] = e
		if decision.EndpointState(e.State) == decision.Removed {
			delete(w.endpoints, e.Name)
		}
	}
	return departedEndpoints(before, w.endpoints)
}

// confirmation returns the message to the event loop that discovery has just confirmed the current version of the list.
func (w *endpointWatch) confirmation(socket *socket, departed []string) endpointsConfirmed {
	readAt := w.server.now()
	return endpointsConfirmed{
		version:   w.version,
		readAt:    readAt,
		arrivedAt: readAt - tcpinfo.InputAge(socket.raw),
		departed:  departed,
	}
}
