//go:build mutants

package door

// Mutant names the planted mistake that is in force. Set it before anything runs.
var Mutant string

func mutant(name string) bool { return Mutant == name }
