//go:build !mutants

package door

// mutant tells whether a planted mistake is in force: only builds with the tag mutants, which try whether the
// simulator finds them, have any.
func mutant(string) bool { return false }
