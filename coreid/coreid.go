// Package coreid names the core that a program was built with: a digest of everything that can change a verdict.
// Programs with the same identity reach the same answers from the same input; others say so and don't answer.
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

// other is part of the digest in tests, which build two cores from one source:
// go build -ldflags '-X sandyard/coreid.other=x'
var other string

// Core is this build's identity: 16 hexadecimal digits. What goes in: the text of the decision module with all its
// constants, of routing and of reading settings, the trace format's version and, since floating-point code may differ
// between them, the processor architecture.
var Core = sync.OnceValue(func() string {
	h := sha256.New()
	for _, s := range []string{decision.Text(), routes.Text(), config.Text(), trace.Format, runtime.GOARCH, other} {
		io.WriteString(h, s)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
})

// Mismatch is an answer that was not given: two cores differ.
type Mismatch struct{ Mine, Theirs, Where string }

func (m Mismatch) Error() string {
	return "this program's core is " + m.Mine + ", that of " + m.Where + " is " + m.Theirs +
		": its verdicts could differ; use the tools of the same build"
}

// Check compares an identity with this build's.
func Check(theirs, where string) error {
	if theirs != Core() {
		return Mismatch{Core(), theirs, where}
	}
	return nil
}
