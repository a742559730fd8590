// Package sourcetext concatenates the source of a package that embeds its own files, as the input of a digest of its code.
package sourcetext

import (
	"embed"
	"strings"
)

// Join returns the concatenated Go files of folder without its tests, in the order of their names. It panics if a file
// can't be read, which does not happen for embedded files.
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
