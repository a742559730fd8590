package routes

import (
	"embed"

	"sandyard/internal/sourcetext"
)

//go:embed *.go
var source embed.FS

// Text is the package's own source without its tests, file by file in the order of their names: two builds with the
// same text route and charge alike. Files that are added are taken in by themselves.
func Text() string { return sourcetext.Join(source) }
