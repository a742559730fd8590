package proxy

// EffectKind says what a Wish asks of the runtime.
type EffectKind uint8

// String names the kind.
func (k EffectKind) String() string {
	return [...]string{"dial", "write", "hang", "final", "grant", "cut", "dial keeper", "send keeper", "hang keeper", "read list"}[k]
}

// The wishes. They are carried out in order, and none may block the core's owner.
const (
	DialBackend    EffectKind = iota // connect Line to Line.Addr; tell BackendConnected or BackendDisconnected
	WriteAttempt                     // write Bytes, an attempt of Exchange, on Line; tell ResponseReceived or BackendDisconnected
	CloseBackend                     // close Line; nothing more is told of it
	Respond                          // hand Bytes to Exchange's client as its whole answer
	StreamResponse                   // Line's begun answer may flow to Exchange's client
	AbortClient                      // close the connection of Exchange's client: its begun answer broke off
	DialCounter                      // connect to Addr; tell CounterConnected or CounterDisconnected
	WriteCounter                     // write Bytes to the keeper
	CloseCounter                     // close the keeper's connection; nothing more is told of it
	PollEndpoints                    // read the list of boxes and tell List
)

// Effect is something for the runtime to do.
type Effect struct {
	Kind               EffectKind
	Conn               *BackendConn
	Exchange           *Exchange
	Bytes              []byte
	Addr               string
	CloseAfterResponse bool // Grant: the answer ends with the client's connection; Final: it says that the connection ends
}

// Effects are what has to be done now. The slice is the caller's until its next call.
func (inst *Instance) Effects() []Effect {
	if counter := &inst.counter; len(counter.outgoing) > 0 {
		inst.emit(Effect{Kind: WriteCounter, Bytes: counter.outgoing})
		counter.outgoing = nil
	}
	effects := inst.effects
	inst.effects = nil
	return effects
}

func (inst *Instance) emit(effect Effect) { inst.effects = append(inst.effects, effect) }
