package emulator

import (
	"hash/fnv"
	"math"
	"strconv"
	"strings"
	"time"

	"sandyard/fault"
	"sandyard/internal/resp"
)

// maxPrintedName (bytes) bounds how much of a client's text an error reply repeats.
const maxPrintedName = 64

// commandFunc executes a command and appends its reply to out. args[0] is the name of the command.
type commandFunc func(c *Counter, now time.Duration, out []byte, args []string) []byte

// command describes a command of the counter.
type command struct {
	minArgs, maxArgs int // number of arguments, the name included; maxArgs 0: any number
	run              commandFunc
}

var commands = map[string]command{
	"INCRBYFLOAT": {3, 3, incrByFloat},
	"PEXPIRE":     {3, 4, pExpire},
	"PTTL":        {2, 2, pTTL},
	"GET":         {2, 2, get},
	"DEL":         {2, 0, del},
	"DBSIZE":      {1, 1, dbSize},
	"FLUSHALL":    {1, 2, flushAll},
	"PING":        {1, 2, ping},
	"ECHO":        {2, 2, echo},
	"HELLO":       {1, 0, hello},
	"CLIENT":      {2, 0, ok},
	"SELECT":      {2, 2, selectDatabase},
}

// run executes a command and appends its reply to out.
func (c *Counter) run(now time.Duration, out []byte, args []string) []byte {
	name := strings.ToUpper(args[0])
	known, ok := commands[name]
	if !ok {
		return resp.AppendError(out, "ERR unknown command '"+printable(args[0])+"'")
	}
	if len(args) < known.minArgs || known.maxArgs > 0 && len(args) > known.maxArgs {
		return resp.AppendError(out, "ERR wrong number of arguments for '"+strings.ToLower(name)+"' command")
	}
	if share, ok := c.faults[fault.PartialOutage]; ok && len(args) > 1 && namePosition(args[1]) < share {
		return resp.AppendError(out, "CLUSTERDOWN Hash slot not served")
	}
	c.sweep(now)
	return known.run(c, now, out, args)
}

// namePosition returns a position of a name among all, in [0,1), by its hash.
func namePosition(name string) float64 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return float64(h.Sum32()) / (1 << 32)
}

// printable returns a client's text in a form that is safe in an error line: shortened, and with ? for other than printable
// ASCII bytes.
func printable(s string) string {
	out := []byte(s[:min(len(s), maxPrintedName)])
	for i := range out {
		if out[i] < 0x20 || out[i] > 0x7e {
			out[i] = '?'
		}
	}
	return string(out)
}

func formatTotal(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func incrByFloat(c *Counter, now time.Duration, out []byte, args []string) []byte {
	name := args[1]
	by, err := strconv.ParseFloat(args[2], 64)
	t := c.get(now, name)
	sum := t.value + by
	if err != nil || math.IsNaN(sum) || math.IsInf(sum, 0) {
		return resp.AppendError(out, "ERR value is not a valid float")
	}
	t.value = sum
	c.recordChange(now, name)
	c.totals[name] = t
	c.Increments++
	return resp.AppendBulk(out, formatTotal(sum))
}

func pExpire(c *Counter, now time.Duration, out []byte, args []string) []byte {
	name := args[1]
	ms, err := strconv.ParseInt(args[2], 10, 64)
	if err != nil || ms > math.MaxInt64/int64(time.Millisecond)/2 {
		return resp.AppendError(out, "ERR value is not an integer or out of range")
	}
	onlyNew := len(args) == 4
	if onlyNew && !strings.EqualFold(args[3], "NX") {
		return resp.AppendError(out, "ERR Unsupported option "+printable(args[3]))
	}
	t := c.get(now, name)
	if _, exists := c.totals[name]; !exists || onlyNew && t.expires > 0 {
		return resp.AppendInt(out, 0)
	}
	if ms <= 0 {
		delete(c.totals, name)
		return resp.AppendInt(out, 1)
	}
	t.expires = now + time.Duration(ms)*time.Millisecond
	c.totals[name] = t
	return resp.AppendInt(out, 1)
}

func pTTL(c *Counter, now time.Duration, out []byte, args []string) []byte {
	t := c.get(now, args[1])
	switch _, exists := c.totals[args[1]]; {
	case !exists:
		return resp.AppendInt(out, -2)
	case t.expires == 0:
		return resp.AppendInt(out, -1)
	}
	return resp.AppendInt(out, int64((t.expires-now)/time.Millisecond))
}

func get(c *Counter, now time.Duration, out []byte, args []string) []byte {
	t := c.get(now, args[1])
	if _, exists := c.totals[args[1]]; !exists {
		return resp.AppendNull(out)
	}
	return resp.AppendBulk(out, formatTotal(t.value))
}

func del(c *Counter, now time.Duration, out []byte, args []string) []byte {
	deleted := int64(0)
	for _, name := range args[1:] {
		c.get(now, name)
		if _, exists := c.totals[name]; exists {
			delete(c.totals, name)
			deleted++
		}
	}
	return resp.AppendInt(out, deleted)
}

func dbSize(c *Counter, _ time.Duration, out []byte, _ []string) []byte {
	return resp.AppendInt(out, int64(len(c.totals)))
}

func flushAll(c *Counter, _ time.Duration, out []byte, _ []string) []byte {
	clear(c.totals)
	return resp.AppendSimple(out, "OK")
}

func ping(_ *Counter, _ time.Duration, out []byte, args []string) []byte {
	if len(args) == 2 {
		return resp.AppendBulk(out, args[1])
	}
	return resp.AppendSimple(out, "PONG")
}

func echo(_ *Counter, _ time.Duration, out []byte, args []string) []byte {
	return resp.AppendBulk(out, args[1])
}

func hello(_ *Counter, _ time.Duration, out []byte, args []string) []byte {
	if len(args) > 1 && args[1] != "2" {
		return resp.AppendError(out, "NOPROTO unsupported protocol version")
	}
	out = append(out, "*6\r\n"...)
	for _, s := range [...]string{"server", "sandyard-emulator", "proto"} {
		out = resp.AppendBulk(out, s)
	}
	return resp.AppendBulk(resp.AppendBulk(resp.AppendInt(out, 2), "mode"), "standalone")
}

func ok(_ *Counter, _ time.Duration, out []byte, _ []string) []byte {
	return resp.AppendSimple(out, "OK")
}

func selectDatabase(_ *Counter, _ time.Duration, out []byte, args []string) []byte {
	if args[1] != "0" {
		return resp.AppendError(out, "ERR DB index is out of range")
	}
	return resp.AppendSimple(out, "OK")
}
