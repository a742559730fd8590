package simwire

import (
	"errors"
	"strings"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
	"sandyard/internal/sitesettings"
)

// settings reads the settings of an init message, which are pairs of path=value. If a path is repeated, its last value
// is used.
func (f *fields) settings() decision.Settings {
	pairs := map[string]string{}
	for _, part := range f.rest() {
		path, value, ok := strings.Cut(part, "=")
		if !ok {
			f.fail("options", part, "path=value")
			continue
		}
		pairs[path] = value
	}
	s, err := sitesettings.Decode(func(path string) string { return pairs[path] })
	if err != nil {
		var field *diagnostic.FieldError
		errors.As(err, &field)
		f.failWith(field)
		return decision.Settings{}
	}
	return s.Decision()
}
