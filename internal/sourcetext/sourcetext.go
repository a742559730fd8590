// Package sourcetext joins the source of a package that embeds its own files, for digests of what the package does.
package sourcetext

import (
	"embed"
	"strings"
)

// Join returns the Go files of a package's folder without its tests, in the order of their names. It panics if a file
// can't be read, which can't happen to files that are part of the program.
func Join(folder embed.FS) string {
	files, err := folder.ReadDir(".")
	if err != nil {
		panic(err)
	}
	var text strings.Builder
	for _, file := range files {
		if strings.HasSuffix(file.Name(), "_test.go") {
			continue
		}
		source, err := folder.ReadFile(file.Name())
		if err != nil {
			panic(err)
		}
		text.Write(source)
	}
	return text.String()
}
