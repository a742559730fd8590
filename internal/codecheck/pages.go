package main

import (
	"bufio"
	"go/ast"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// recordFolders hold pages that say what was at a time: their names of tests and files are those of then.
var recordFolders = []string{"docs/incidents", "docs/measurements", "journal"}

// recordPages are single pages of the same kind.
var recordPages = []string{"CHANGELOG.md", "docs/ROADMAP.md"}

var (
	testName = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z][A-Za-z0-9]*\b`)
	fileName = regexp.MustCompile("`([A-Za-z0-9_./-]+\\.go)`")
)

// missingName is a test or a Go file that a page names and the code does not have.
type missingName struct {
	page string
	line int
	name string
}

// readPages finds what the pages below a folder name that its code lacks. It needs the folder's Go files read before.
func (r *report) readPages(folder string) error {
	return filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(folder, path)
		if err != nil {
			return err
		}
		relative = filepath.ToSlash(relative)
		if entry.IsDir() {
			if relative != "." && (strings.HasPrefix(entry.Name(), ".") || slices.Contains(recordFolders, relative)) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".md") || slices.Contains(recordPages, relative) {
			return nil
		}
		return r.readPage(folder, path, relative)
	})
}

func (r *report) readPage(folder, path, name string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for number := 1; lines.Scan(); number++ {
		for _, test := range testName.FindAllString(lines.Text(), -1) {
			if !r.testNames[test] {
				r.missing = append(r.missing, missingName{name, number, test})
			}
		}
		for _, match := range fileName.FindAllStringSubmatch(lines.Text(), -1) {
			if _, err := os.Stat(filepath.Join(folder, match[1])); err != nil {
				r.missing = append(r.missing, missingName{name, number, match[1]})
			}
		}
	}
	return lines.Err()
}

// noteTests notes the names of a test file's tests.
func (r *report) noteTests(file *ast.File) {
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil && testName.MatchString(function.Name.Name) {
			r.testNames[function.Name.Name] = true
		}
	}
}
