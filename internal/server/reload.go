package server

// SetAddresses goes on with discovery and counter at other addresses (host:port; no counter if empty), as a reload at
// SIGHUP does: the watch of discovery begins again there, from the version that is held, and counter calls under way count
// as perhaps added. Nothing else of a configuration can change while an instance runs. Any goroutine may call it; it
// does not block.
func (s *Server) SetAddresses(discovery, counter string) {
	if s.discovery != nil {
		s.discovery.setAddress(discovery)
	}
	s.post(counterMoved{counter})
}
