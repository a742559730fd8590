package simulation

import (
	"encoding/binary"
)

// eventKind is the kind of an event in the digest. Recorded digests depend on these numbers: new kinds follow the last one.
type eventKind byte

const (
	requestSent   eventKind = iota + 1 // the request's id
	requestEnded                       // the request's id and ending
	backendEvent                       // the kind of event, the request's id and the backend's name
	faultStarted                       // verb, target and value
	faultEnded                         // verb and target
	ruleBroken                         // the rule's number
	instanceStats                      // an instance's counts at the end
)

// digest adds an event to the run's digest: the time, the kind, numbers, and texts that scripts, clients or peers chose. It
// leaves out log texts, so that rewording them does not change the digest.
func (c *clock) digest(kind eventKind, numbers []uint64, texts ...string) {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), uint64(c.now))
	b = append(b, byte(kind))
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	for _, t := range texts {
		b = append(b, t...)
		b = append(b, 0)
	}
	c.digestState.Write(b)
}
