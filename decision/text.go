package decision

import (
	"embed"

	"sandyard/internal/sourcetext"
)

//go:embed *.go
var source embed.FS

// This file gives the identity of the rules: package coreid makes a digest of the text, which traces hold.

// Text is the package's own source without its tests, file by file in the order of their names: two builds with the
// same text decide alike. Any edit changes the text and so the digest, even one of a comment. Files that are added are
// taken in by themselves.
func Text() string { return sourcetext.Join(source) }
