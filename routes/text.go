package routes

import (
	"embed"

	"sandyard/internal/sourcetext"
)

//go:embed *.go
var source embed.FS

// Text returns the source of this package without its tests, in the order of file names. Two builds with the same text
// route and charge requests in the same way. New files are included automatically.
func Text() string { return sourcetext.Join(source) }
