package config

import (
	"embed"

	"sandyard/internal/sourcetext"
)

//go:embed *.go
var source embed.FS

// Text is the package's own source without its tests, file by file in the order of their names: two builds with the
// same text read settings, keys and plans alike. Files that are added are taken in by themselves.
func Text() string { return sourcetext.Join(source) }
