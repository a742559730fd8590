package decision

import (
	"embed"

	"sandyard/internal/sourcetext"
)

//go:embed *.go
var source embed.FS

// This file provides the source text that identifies the rules: package coreid computes a digest of it, which traces
// record.

// Text returns the source of this package without its tests, in the order of the file names. Two builds with the same
// text make the same decisions. Every edit changes the text and the digest, even one in a comment. New files are
// included automatically.
func Text() string { return sourcetext.Join(source) }
