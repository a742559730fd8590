package config

import _ "embed"

//go:embed config.go
var configText string

// Text is the source of the rules by which settings, keys and plans are read.
func Text() string { return configText }
