package resp

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// valuesOf feeds text to a Reader in pieces that end at cuts, and returns a listing of the values up to the first error.
func valuesOf(text []byte, cuts []int) string {
	var r Reader
	var out strings.Builder
	at := 0
	for _, cut := range append(cuts, len(text)) {
		if cut < at {
			continue
		}
		piece := text[at:cut]
		at = cut
		for {
			n, v, whole, err := r.Feed(piece)
			piece = piece[n:]
			if err != nil {
				fmt.Fprintln(&out, err)
				return out.String()
			}
			if !whole {
				break
			}
			fmt.Fprintf(&out, "%+v\n", v)
		}
	}
	return out.String()
}

// The network and the sender may split a stream at any byte. The values must not depend on that.
func TestValuesDoNotDependOnSplits(t *testing.T) {
	pieces := []string{"+OK\r\n", "-ERR x\r\n", ":12\r\n", "$3\r\nabc\r\n", "$-1\r\n", "*2\r\n", "*0\r\n", "*-1\r\n", "_\r\n", "$0\r\n\r\n",
		"$3\r\n", "abc", "\r\n", "\n", ":x\r\n", "*9999999\r\n", "$99999999\r\n"}
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 10).Draw(t, "pieces"), ""))
		cuts := rapid.SliceOfN(rapid.IntRange(0, len(text)), 0, 10).Draw(t, "cuts")
		if a, b := valuesOf(text, nil), valuesOf(text, cuts); a != b {
			t.Fatalf("at once:\n%ssplit:\n%s", a, b)
		}
	})
}

// A command with any bytes in its arguments, including line ends, must be read as it was written.
func TestCommandsReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		args := rapid.SliceOfN(rapid.String(), 1, 6).Draw(t, "args")
		var r Reader
		n, v, whole, err := r.Feed(AppendCommand(nil, args...))
		var got []string
		for _, item := range v.Items {
			got = append(got, item.Str)
		}
		if !whole || err != nil || n == 0 || !reflect.DeepEqual(got, args) {
			t.Fatalf("%q read back as %q, %v", args, got, err)
		}
	})
}

// A peer sends bytes that are not RESP, or announces more than the bounds of a Reader. Feed must return ErrSyntax or ErrSize
// before it allocates the memory.
func TestMalformedAndOversizedValuesAreRefused(t *testing.T) {
	for _, s := range []string{"$600000\r\n", "*2000\r\n", strings.Repeat("*1\r\n", 10), "+" + strings.Repeat("x", 600)} {
		if got := valuesOf([]byte(s), nil); !strings.Contains(got, ErrSize.Error()) {
			t.Errorf("%.20q: %s", s, got)
		}
	}
	for _, s := range []string{"?\r\n", ":\r\n", "$x\r\n", "$-2\r\n", "$1\r\nabc", "+a\rb\r\n", "\r\n"} {
		if got := valuesOf([]byte(s), nil); !strings.Contains(got, ErrSyntax.Error()) {
			t.Errorf("%q: %s", s, got)
		}
	}
}

// FuzzReader compares the values of a stream that is read at once with those of the same stream read byte by byte.
func FuzzReader(f *testing.F) {
	f.Add([]byte("*2\r\n$3\r\nabc\r\n:1\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		cuts := make([]int, len(text))
		for i := range cuts {
			cuts[i] = i
		}
		if a, b := valuesOf(text, nil), valuesOf(text, cuts); a != b {
			t.Fatalf("at once:\n%sbyte by byte:\n%s", a, b)
		}
	})
}
