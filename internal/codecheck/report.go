package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"unicode"
)

// Limits of the lengths that are counted (lines). Functions and files above them are too long to keep in view at once.
const (
	longFunction     = 40
	veryLongFunction = 60
	longFile         = 400
)

// withdrawnWords are words that identifiers must not contain. docs/glossary.md has the term to use instead of each.
var withdrawnWords = []string{
	"able", "asker", "askers", "borne", "box", "boxes", "breed", "breeds", "dear", "door", "doors", "heard", "keeper", "keepers", "lets",
	"line", "lines", "look", "looks", "luck", "mend", "mends", "pace", "standin", "standins", "studio", "studios", "tally", "tallies",
	"tenant", "tenants", "told", "trouble", "troubles", "wary", "way", "ways", "wish", "wishes",
}

// wordUse is an occurrence of an identifier that contains a withdrawn word.
type wordUse struct {
	file       string
	line       int
	identifier string
	word       string
}

// namedItem is an exported item and its place.
type namedItem struct {
	file string
	line int
	name string
}

// report holds the findings in a folder's Go files. Test files are checked for words, and their tests' names are recorded.
type report struct {
	files         *token.FileSet
	wordUses      []wordUse
	undocumented  []namedItem
	functionLines []int
	longFiles     []string
	errorsInPlace int // calls of errors.New and fmt.Errorf within functions
	namedErrors   int // calls of errors.New and fmt.Errorf that initialize variables of a package
	errorTypes    int // methods named Error
	testNames     map[string]bool
	missing       []missingName
}

func newReport() *report { return &report{files: token.NewFileSet(), testNames: map[string]bool{}} }

// readFolder reads all Go files below a folder, except those in testdata and in folders whose names begin with a dot.
func (r *report) readFolder(folder string) error {
	return filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name := entry.Name(); path != folder && (name == "testdata" || strings.HasPrefix(name, ".")) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		relative, err := filepath.Rel(folder, path)
		if err != nil {
			return err
		}
		return r.readFile(path, filepath.ToSlash(relative))
	})
}

func (r *report) readFile(path, name string) error {
	file, err := parser.ParseFile(r.files, path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	r.findWords(file, name)
	if strings.HasSuffix(name, "_test.go") {
		r.recordTests(file)
		return nil
	}
	if r.files.Position(file.FileEnd).Line > longFile {
		r.longFiles = append(r.longFiles, name)
	}
	for _, declaration := range file.Decls {
		r.readDeclaration(declaration, name)
	}
	return nil
}

// findWords records each identifier that contains a withdrawn word, including those of fields and labels.
func (r *report) findWords(file *ast.File, name string) {
	ast.Inspect(file, func(node ast.Node) bool {
		identifier, ok := node.(*ast.Ident)
		if !ok {
			return true
		}
		for _, word := range splitWords(identifier.Name) {
			if slices.Contains(withdrawnWords, word) {
				r.wordUses = append(r.wordUses, wordUse{name, r.lineOf(identifier), identifier.Name, word})
			}
		}
		return true
	})
}

func (r *report) lineOf(node ast.Node) int { return r.files.Position(node.Pos()).Line }

// splitWords splits an identifier into words, in lower case. Capitals begin a word; underscores and digits separate words.
func splitWords(identifier string) []string {
	var words []string
	start := 0
	runes := []rune(identifier)
	cut := func(end int) {
		if end > start {
			words = append(words, strings.ToLower(string(runes[start:end])))
		}
		start = end
	}
	for i, char := range runes {
		switch {
		case char == '_' || unicode.IsDigit(char):
			cut(i)
			start = i + 1
		case unicode.IsUpper(char) && i > 0 && (!unicode.IsUpper(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1])):
			cut(i)
		}
	}
	cut(len(runes))
	return words
}

func (r *report) readDeclaration(declaration ast.Decl, file string) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		r.readFunction(declaration, file)
	case *ast.GenDecl:
		r.readSpecs(declaration, file)
	}
}

func (r *report) readFunction(function *ast.FuncDecl, file string) {
	lines := r.files.Position(function.End()).Line - r.lineOf(function) + 1
	r.functionLines = append(r.functionLines, lines)
	if function.Body != nil {
		r.errorsInPlace += countErrorCalls(function.Body)
	}
	if function.Recv != nil && function.Name.Name == "Error" {
		r.errorTypes++
	}
	if function.Doc == nil && function.Name.IsExported() && receiverIsExported(function) && !implementsStandardMethod(function) {
		r.undocumented = append(r.undocumented, namedItem{file, r.lineOf(function), function.Name.Name})
	}
}

// implementsStandardMethod reports whether a method has the name of a method of a well-known interface, which documents it.
func implementsStandardMethod(function *ast.FuncDecl) bool {
	standard := []string{"Error", "Unwrap", "Is", "As", "String", "Read", "Write", "Close", "Len", "Less", "Swap", "Push", "Pop"}
	return function.Recv != nil && slices.Contains(standard, function.Name.Name)
}

func receiverIsExported(function *ast.FuncDecl) bool {
	if function.Recv == nil || len(function.Recv.List) == 0 {
		return true
	}
	receiver := function.Recv.List[0].Type
	for {
		switch inner := receiver.(type) {
		case *ast.StarExpr:
			receiver = inner.X
		case *ast.IndexExpr:
			receiver = inner.X
		case *ast.Ident:
			return inner.IsExported()
		default:
			return false
		}
	}
}

func (r *report) readSpecs(declaration *ast.GenDecl, file string) {
	for _, spec := range declaration.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			if spec.Name.IsExported() && spec.Doc == nil && declaration.Doc == nil {
				r.undocumented = append(r.undocumented, namedItem{file, r.lineOf(spec), spec.Name.Name})
			}
		case *ast.ValueSpec:
			for _, value := range spec.Values {
				r.namedErrors += countErrorCalls(value)
			}
			if spec.Doc == nil && spec.Comment == nil && declaration.Doc == nil && spec.Names[0].IsExported() {
				r.undocumented = append(r.undocumented, namedItem{file, r.lineOf(spec), spec.Names[0].Name})
			}
		}
	}
}

// countErrorCalls returns the number of calls of errors.New and fmt.Errorf below a node.
func countErrorCalls(node ast.Node) (calls int) {
	ast.Inspect(node, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		name, ok := selector.X.(*ast.Ident)
		if ok && (name.Name == "errors" && selector.Sel.Name == "New" || name.Name == "fmt" && selector.Sel.Name == "Errorf") {
			calls++
		}
		return true
	})
	return calls
}

// functionsOver returns the number of functions that are longer than a number of lines.
func (r *report) functionsOver(lines int) (count int) {
	for _, length := range r.functionLines {
		if length > lines {
			count++
		}
	}
	return count
}
