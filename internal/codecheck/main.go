// Command codecheck checks the Go files and the Markdown pages below a folder. It reports identifiers that contain a withdrawn
// word, for which docs/glossary.md has the term to use, exported items without a doc comment, and pages that name tests or Go files
// that do not exist. It also prints counts that the project monitors: long functions, long files and errors without a type.
//
//	go run ./internal/codecheck [-exceptions FILE] [FOLDER]
//
// It exits with status 1 if it reports anything, and with 2 if it can't read the files or the exceptions.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
)

func main() {
	exceptions := flag.String("exceptions", "internal/codecheck/exceptions.txt", "file of the exceptions: files in which a withdrawn word is allowed; empty for none")
	flag.Parse()
	folder := "."
	if flag.NArg() > 0 {
		folder = flag.Arg(0)
	}
	switch err := run(folder, *exceptions, os.Stdout); {
	case errors.Is(err, errRefused):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "codecheck:", err)
		os.Exit(2)
	}
}

// errRefused is returned if the check found a fault. The faults have been printed.
var errRefused = errors.New("refused")

// run checks a folder and prints the faults and the counts. It returns errRefused if there is a fault.
func run(folder, exceptionsFile string, out io.Writer) error {
	allowed, err := readExceptions(exceptionsFile)
	if err != nil {
		return err
	}
	report := newReport()
	if err := report.readFolder(folder); err != nil {
		return err
	}
	if err := report.readPages(folder); err != nil {
		return err
	}
	refused := false
	for _, use := range report.wordUses {
		if !allowed.allow(use) {
			refused = true
			fmt.Fprintf(out, "%s:%d: %s has the withdrawn word %q\n", use.file, use.line, use.identifier, use.word)
		}
	}
	for _, unused := range allowed.unused() {
		refused = true
		fmt.Fprintf(out, "%s: nothing needs this exception any more: %s\n", exceptionsFile, unused)
	}
	for _, item := range report.undocumented {
		refused = true
		fmt.Fprintf(out, "%s:%d: exported %s has no doc comment\n", item.file, item.line, item.name)
	}
	for _, missing := range report.missing {
		refused = true
		fmt.Fprintf(out, "%s:%d: the code has no %s\n", missing.page, missing.line, missing.name)
	}
	report.printCounts(out)
	if refused {
		return errRefused
	}
	return nil
}

// printCounts prints one line for each count.
func (r *report) printCounts(out io.Writer) {
	byWord := map[string]int{}
	for _, use := range r.wordUses {
		byWord[use.word]++
	}
	words := make([]string, 0, len(byWord))
	for word := range byWord {
		words = append(words, word)
	}
	slices.SortFunc(words, func(a, b string) int { return byWord[b] - byWord[a] })
	fmt.Fprintf(out, "uses of identifiers with withdrawn words: %d", len(r.wordUses))
	for _, word := range words {
		fmt.Fprintf(out, " %s=%d", word, byWord[word])
	}
	fmt.Fprintln(out)
	fmt.Fprintf(out, "functions over %d lines: %d, over %d lines: %d\n", longFunction, r.functionsOver(longFunction), veryLongFunction,
		r.functionsOver(veryLongFunction))
	fmt.Fprintf(out, "files over %d lines: %d\n", longFile, len(r.longFiles))
	fmt.Fprintf(out, "errors made in place: %d, named: %d, error types: %d\n", r.errorsInPlace, r.namedErrors, r.errorTypes)
	fmt.Fprintf(out, "exported items without a doc comment: %d\n", len(r.undocumented))
}
