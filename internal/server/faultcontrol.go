package server

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"sandyard/fault"
)

const (
	// maxFaultControlConns is how many connections a fault control serves at a time; a script or an engineer needs one.
	maxFaultControlConns = 16
	// maxFaultCommand is the maximum size of a command (bytes); the longest verb with a number is far shorter.
	maxFaultCommand = 256
	// faultCommandTimeout bounds the dial of a fault control, and separately a command with its reply.
	faultCommandTimeout = 2 * time.Second
)

// ErrFaultCommand matches, by errors.Is, the error that SendFaultCommand returns if the emulator rejects a command.
var ErrFaultCommand = errors.New("the fault command is rejected")

// rejectedFaultCommand is an emulator's reply other than "ok". errors.Is matches it with ErrFaultCommand.
type rejectedFaultCommand struct{ reply string }

func (e rejectedFaultCommand) Error() string        { return e.reply }
func (e rejectedFaultCommand) Is(target error) bool { return target == ErrFaultCommand }

// FaultTarget is an emulated backend or counter whose faults can be set while it runs.
type FaultTarget interface {
	// Set begins a fault with a value, or ends it. Any goroutine may call it.
	Set(v fault.Verb, value float64, on bool) error
}

// ServeFaultControl listens on an address (host:port) for commands that set a target's faults, one per line: "set slow 3",
// "clear slow". The reply to each is "ok" or "error: ...". stop closes the listener and all connections and waits for their
// goroutines.
func ServeFaultControl(addr string, target FaultTarget) (listening net.Addr, stop func(), err error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	connections := startConnServer(listener, maxFaultControlConns, func(conn net.Conn) { serveFaultCommands(conn, target) })
	return listener.Addr(), connections.close, nil
}

// serveFaultCommands executes the commands of a connection, one by one, until the connection ends.
func serveFaultCommands(conn net.Conn, target FaultTarget) {
	commands := bufio.NewScanner(conn)
	commands.Buffer(make([]byte, maxFaultCommand), maxFaultCommand)
	for commands.Scan() {
		if err := runFaultCommand(commands.Text(), target); err != nil {
			fmt.Fprintf(conn, "error: %v\n", err)
		} else {
			fmt.Fprintln(conn, "ok")
		}
	}
}

func runFaultCommand(command string, target FaultTarget) error {
	word, rest, _ := strings.Cut(strings.TrimSpace(command), " ")
	switch word {
	case "set":
		verb, value, err := fault.Parse(rest)
		if err != nil {
			return err
		}
		return target.Set(verb, value, true)
	case "clear":
		verb, _, err := fault.Parse(rest + " 0")
		if err != nil {
			return err
		}
		return target.Set(verb, 0, false)
	}
	return fmt.Errorf("%q: expected set or clear", word)
}

// SendFaultCommand sends a command to the fault control at an address (host:port) and waits at most faultCommandTimeout for
// the reply. If the emulator rejects the command, errors.Is matches the error with ErrFaultCommand.
func SendFaultCommand(addr, command string) error {
	conn, err := net.DialTimeout("tcp", addr, faultCommandTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(faultCommandTimeout))
	if _, err := fmt.Fprintln(conn, command); err != nil {
		return err
	}
	reply, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err
	}
	reply = strings.TrimSpace(reply)
	if reply != "ok" {
		return rejectedFaultCommand{reply}
	}
	return nil
}
