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

// historyFolders hold pages that describe the past. They name tests and files by the names of that time, and are not checked.
var historyFolders = []string{"docs/incidents", "docs/measurements", "journal"}

// historyPages are single pages that are not checked for the same reason.
var historyPages = []string{"CHANGELOG.md", "docs/ROADMAP.md"}

var (
	testName = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z][A-Za-z0-9]*\b`)
	fileName = regexp.MustCompile("`([A-Za-z0-9_./-]+\\.go)`")
)

// missingName is the name of a test or Go file that a page contains but the code does not.
type missingName struct {
	page string
	line int
	name string
}

// readPages finds the tests and Go files that the pages below a folder name and that do not exist. The folder's Go files must
// have been read before.
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
			if relative != "." && (strings.HasPrefix(entry.Name(), ".") || slices.Contains(historyFolders, relative)) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".md") || slices.Contains(historyPages, relative) {
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

// recordTests records the names of the tests in a file.
func (r *report) recordTests(file *ast.File) {
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil && testName.MatchString(function.Name.Name) {
			r.testNames[function.Name.Name] = true
		}
	}
}
