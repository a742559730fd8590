package main

import (
	"errors"
	"fmt"
	"os"
	"path"
	"strings"
)

// errException is the error of a malformed line in the file of exceptions.
var errException = errors.New("expected 'FILE-PATTERN WORD: reason'")

// exception allows a withdrawn word in the files that match a pattern of path.Match.
type exception struct {
	pattern string
	word    string
	text    string
	used    bool
}

// exceptions allow withdrawn words in files in which they have another meaning or are names of a format.
type exceptions []*exception

// readExceptions reads a file of lines 'FILE-PATTERN WORD: reason'. It ignores empty lines and lines that begin with #.
func readExceptions(file string) (exceptions, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var all exceptions
	for number, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) == "" || strings.HasPrefix(line, "#") {
			continue
		}
		place, reason, found := strings.Cut(line, ": ")
		fields := strings.Fields(place)
		if !found || strings.TrimSpace(reason) == "" || len(fields) != 2 {
			return nil, fmt.Errorf("%s:%d: %w: %s", file, number+1, errException, line)
		}
		if _, err := path.Match(fields[0], ""); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, number+1, err)
		}
		all = append(all, &exception{pattern: fields[0], word: fields[1], text: line})
	}
	return all, nil
}

// allow reports whether an exception covers a use, and marks that exception as used.
func (e exceptions) allow(use wordUse) bool {
	for _, one := range e {
		if match, _ := path.Match(one.pattern, use.file); match && one.word == use.word {
			one.used = true
			return true
		}
	}
	return false
}

// unused returns the lines of the exceptions that covered no use.
func (e exceptions) unused() (texts []string) {
	for _, one := range e {
		if !one.used {
			texts = append(texts, one.text)
		}
	}
	return texts
}
