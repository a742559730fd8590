// Package coreid identifies the core of a program, the code that makes the decisions, by a digest of everything that can
// change a decision. Programs with the same identity make the same decisions from the same input. A tool does not judge an
// input that comes from a program with a different identity.
package coreid

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"runtime"
	"sync"

	"sandyard/config"
	"sandyard/decision"
	"sandyard/routes"
	"sandyard/trace"
)

// digestBytes is the number of bytes of the digest that an identity contains. It is short enough to compare by eye, and
// sufficient because there are few builds.
const digestBytes = 8

// other is a part of the digest that only tests set, to build programs with two cores from the same source:
// go build -ldflags '-X sandyard/coreid.other=x'
var other string

// Core returns this build's identity: 16 hexadecimal digits. It is a digest of the source text of packages decision (with all
// its constants), routes and config, of the version of the trace format, and of the processor architecture, because
// floating-point results may differ between architectures.
var Core = sync.OnceValue(func() string {
	h := sha256.New()
	for _, s := range []string{decision.Text(), routes.Text(), config.Text(), trace.Format, runtime.GOARCH, other} {
		io.WriteString(h, s)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
})

// Mismatch is the error of a tool that does not judge its input, because another core produced the input.
type Mismatch struct {
	Own    string // this program's identity
	Other  string // identity of the input's core
	Source string // name of the input, such as "the trace"
}

// Error returns a message with both identities and the source.
func (m Mismatch) Error() string {
	return "this program's core is " + m.Own + ", that of " + m.Source + " is " + m.Other +
		": its verdicts could differ; use the tools of the same build"
}

// Check returns a Mismatch if other is not this build's identity. source names the input that other belongs to.
func Check(other, source string) error {
	if other != Core() {
		return Mismatch{Core(), other, source}
	}
	return nil
}
