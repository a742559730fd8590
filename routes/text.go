package routes

import _ "embed"

//go:embed table.go
var tableText string

//go:embed compile.go
var compileText string

// Text is the source of the rules by which a call finds its operation and its cost.
func Text() string { return tableText + compileText }
