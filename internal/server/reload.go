package server

// SetAddresses changes the addresses of discovery and counter (host:port; no counter if empty), as a reload at SIGHUP does.
// The watch of discovery restarts at the new address from the current version. The result of counter calls in flight
// counts as unknown: their units may have been added. No other setting can change while an instance runs. Any goroutine may
// call SetAddresses; it does not block.
func (s *Server) SetAddresses(discovery, counter string) {
	if s.discovery != nil {
		s.discovery.setAddress(discovery)
	}
	s.post(counterMoved{counter})
}
