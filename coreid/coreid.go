// Package coreid identifies the core that a program was built with, by a digest of everything that can change a decision.
// Programs with the same identity decide the same from the same input; tools whose identity is another refuse to give a
// verdict.
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

// digestBytes is how much of the digest is kept: short enough to compare by eye, and builds are few.
const digestBytes = 8

// other is part of the digest in tests only, which build programs with two cores from one source:
// go build -ldflags '-X sandyard/coreid.other=x'
var other string

// Core returns this build's identity: 16 hexadecimal digits. It is a digest of the source text of the decision package with
// all its constants, of routing and of reading settings, of the trace format's version and, since floating-point code may
// differ between them, of the processor architecture.
var Core = sync.OnceValue(func() string {
	h := sha256.New()
	for _, s := range []string{decision.Text(), routes.Text(), config.Text(), trace.Format, runtime.GOARCH, other} {
		io.WriteString(h, s)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
})

// Mismatch is the error of a tool that gives no verdict because two cores differ.
type Mismatch struct {
	Own    string // this program's identity
	Other  string // that of what it was given
	Source string // what that is, as "the trace"
}

func (m Mismatch) Error() string {
	return "this program's core is " + m.Own + ", that of " + m.Source + " is " + m.Other +
		": its verdicts could differ; use the tools of the same build"
}

// Check returns a Mismatch if an identity is not this build's. where says what it belongs to.
func Check(theirs, where string) error {
	if theirs != Core() {
		return Mismatch{Core(), theirs, where}
	}
	return nil
}
