// Command codecheck reads the Go files below a folder and refuses what readers of the code should not meet: identifiers
// with words that were withdrawn in favour of the field's terms (docs/glossary.md), exported items without a doc comment, and
// pages that name tests or Go files that are not there. It prints the counts that the project watches: long functions, long files and errors without a type.
//
//	go run ./internal/codecheck [-exceptions FILE] [FOLDER]
//
// It ends with status 1 if something is refused, and with 2 if it can't read the files or the exceptions.
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
	exceptions := flag.String("exceptions", "internal/codecheck/exceptions.txt", "file of the words that are allowed, and where; empty for none")
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

// errRefused says that something was found that must not be there; what it is has been printed.
var errRefused = errors.New("refused")

// run checks a folder, prints what is refused and the counts, and returns errRefused if anything is.
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

// printCounts prints the figures, one a line.
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
