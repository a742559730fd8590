package choice

import _ "embed"

//go:embed api.go
var apiText string

//go:embed choice.go
var policyText string

//go:embed state.go
var stateText string

// Text is the module's own source: two builds with the same text decide alike.
func Text() string { return apiText + policyText + stateText }
