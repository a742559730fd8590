package config

import (
	"embed"

	"sandyard/internal/sourcetext"
)

//go:embed *.go
var source embed.FS

// Text returns the source of this package without its tests, in the order of file names. Two builds with the same text
// read settings, keys and plans in the same way. New files are included automatically.
func Text() string { return sourcetext.Join(source) }
