package routes

import (
	"embed"
	"strings"
)

//go:embed *.go
var source embed.FS

// Text is the package's own source without its tests, file by file in the order of their names: two builds with the
// same text route and charge alike. Files that are added are taken in by themselves.
func Text() string {
	var text strings.Builder
	files, err := source.ReadDir(".")
	if err != nil {
		panic(err) // the files are part of the program
	}
	for _, f := range files {
		if strings.HasSuffix(f.Name(), "_test.go") {
			continue
		}
		b, err := source.ReadFile(f.Name())
		if err != nil {
			panic(err)
		}
		text.Write(b)
	}
	return text.String()
}
