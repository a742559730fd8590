package mutation

import (
	"encoding/json"
	"errors"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"slices"
	"testing"
)

// listedPackage is the output of go list for a package.
type listedPackage struct {
	ImportPath string
	Dir        string
	Export     string   // file with the export data of the compiled package
	GoFiles    []string // without tests, in Dir
}

// listPackages lists the packages in folders below the module's root and all packages that they import, by import path.
func listPackages(t *testing.T, folders []string) map[string]listedPackage {
	t.Helper()
	args := []string{"list", "-export", "-deps", "-json=ImportPath,Dir,Export,GoFiles"}
	for _, folder := range folders {
		args = append(args, "./"+folder)
	}
	command := exec.Command("go", args...)
	command.Dir = "../.."
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	packages := map[string]listedPackage{}
	decoder := json.NewDecoder(output)
	for {
		var listed listedPackage
		err := decoder.Decode(&listed)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		packages[listed.ImportPath] = listed
	}
	if err := command.Wait(); err != nil {
		t.Fatal(err)
	}
	return packages
}

// mutationChecker type-checks packages in which files are replaced.
type mutationChecker struct {
	files     *token.FileSet
	packages  map[string]listedPackage // by import path
	originals map[string]*ast.File     // by path
	config    types.Config
}

func newMutationChecker(t *testing.T, folders []string) *mutationChecker {
	t.Helper()
	checker := &mutationChecker{files: token.NewFileSet(), packages: listPackages(t, folders), originals: map[string]*ast.File{}}
	openExport := func(importPath string) (io.ReadCloser, error) { return os.Open(checker.packages[importPath].Export) }
	checker.config.Importer = importer.ForCompiler(checker.files, "gc", openExport)
	return checker
}

// check type-checks the package in a folder. texts replaces files, by their paths from the root.
func (c *mutationChecker) check(folder string, texts map[string]string) error {
	listed := c.packages["sandyard/"+folder]
	var parsed []*ast.File
	for _, name := range listed.GoFiles {
		file, err := c.parse(filepath.Join(listed.Dir, name), texts[path.Join(folder, name)])
		if err != nil {
			return err
		}
		parsed = append(parsed, file)
	}
	_, err := c.config.Check(listed.ImportPath, c.files, parsed, nil)
	return err
}

// parse parses the new text of a file, or the original file if there is none.
func (c *mutationChecker) parse(name, text string) (*ast.File, error) {
	if text != "" {
		return parser.ParseFile(c.files, name, text, parser.SkipObjectResolution)
	}
	if file := c.originals[name]; file != nil {
		return file, nil
	}
	file, err := parser.ParseFile(c.files, name, nil, parser.SkipObjectResolution)
	c.originals[name] = file
	return file, err
}

// foldersOf returns the folders of the files that mutations change, sorted.
func foldersOf(mutations ...Mutation) []string {
	var folders []string
	for _, m := range mutations {
		for _, edit := range m.Edits {
			folders = append(folders, path.Dir(edit.File))
		}
	}
	slices.Sort(folders)
	return slices.Compact(folders)
}

// A mutation that does not compile can't be run: a change of the source that leaves a variable unused under a mutation would go
// unnoticed until the mutations are next run. This test therefore type-checks each changed package.
func TestMutationsTypeCheck(t *testing.T) {
	all, err := List()
	if err != nil {
		t.Fatal(err)
	}
	checker := newMutationChecker(t, foldersOf(all...))
	for _, folder := range foldersOf(all...) {
		if err := checker.check(folder, nil); err != nil {
			t.Fatalf("%s without a mutation: %v", folder, err)
		}
	}
	for _, m := range all {
		texts, err := m.Apply("../..")
		if err != nil {
			t.Error(err)
			continue
		}
		for _, folder := range foldersOf(m) {
			if err := checker.check(folder, texts); err != nil {
				t.Errorf("%s: %v", m.Name, err)
			}
		}
	}
}
