package proxy

import "time"

// minReadAhead is the smallest buffer that is allocated for bytes received ahead (bytes).
const minReadAhead = 512

// readAhead holds bytes of a client that were received and not parsed yet, since a response is awaited or the client does not
// read its responses. Its capacity is reserved in Shared.ReservedBytes. The zero value is empty.
type readAhead struct {
	buffer []byte
	parsed int           // bytes at the beginning of buffer that were parsed
	since  time.Duration // when its first byte was received
}

// unparsed returns the bytes, in the order in which they were received. They are valid until the next call of add or release.
func (r *readAhead) unparsed() []byte { return r.buffer[r.parsed:] }

// len returns the number of bytes.
func (r *readAhead) len() int { return len(r.buffer) - r.parsed }

// add appends bytes. It reports false, and adds nothing, if there would be more than most bytes or limits.memory is exhausted.
func (r *readAhead) add(shared *Shared, b []byte, most int) bool {
	size := r.len() + len(b)
	if size > most {
		return false
	}
	if r.parsed >= r.len() && size <= cap(r.buffer) { // moving at most as many bytes as were parsed keeps the cost linear
		r.buffer = r.buffer[:copy(r.buffer, r.unparsed())]
		r.parsed = 0
	}
	if len(r.buffer)+len(b) > cap(r.buffer) && !r.grow(shared, max(size, min(2*cap(r.buffer), most), minReadAhead)) {
		return false
	}
	r.buffer = append(r.buffer, b...)
	return true
}

// grow moves the bytes to a buffer of a given size. It reports false if limits.memory is exhausted.
func (r *readAhead) grow(shared *Shared, size int) bool {
	if !shared.reserve(size) {
		return false
	}
	grown := append(make([]byte, 0, size), r.unparsed()...)
	shared.release(cap(r.buffer))
	r.buffer, r.parsed = grown, 0
	return true
}

// skip marks the next n bytes as parsed, and releases the memory if no bytes are left.
func (r *readAhead) skip(shared *Shared, n int) {
	r.parsed += n
	if r.len() == 0 {
		r.release(shared)
	}
}

// release drops all bytes and releases their memory.
func (r *readAhead) release(shared *Shared) {
	shared.release(cap(r.buffer))
	r.buffer, r.parsed = nil, 0
}
