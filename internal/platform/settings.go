package platform

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"sandyard/internal/sitesettings"
)

// settingsLookup returns a lookup in settings that are nested JSON objects.
func settingsLookup(text []byte) (sitesettings.Lookup, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber() // so that an error shows a rejected value as it was written
	var root any
	if err := d.Decode(&root); err != nil {
		return nil, err
	}
	if _, ok := root.(map[string]any); !ok {
		return nil, ErrSettingsNotObject
	}
	return func(path string) string {
		text, _ := lookup(root, path)
		return text
	}, nil
}

// lookup returns the text at a path below a value. Keys may contain dots themselves.
func lookup(v any, path string) (string, bool) {
	if path == "" {
		return valueText(v)
	}
	switch v := v.(type) {
	case map[string]any:
		for end := range len(path) + 1 {
			if end < len(path) && path[end] != '.' {
				continue
			}
			if child, ok := v[path[:end]]; ok {
				if text, ok := lookup(child, strings.TrimPrefix(path[end:], ".")); ok {
					return text, true
				}
			}
		}
	case []any:
		if !isObjectList(v) {
			return "", false
		}
		if path == "count" {
			return strconv.Itoa(len(v)), true
		}
		index, rest, _ := strings.Cut(path, ".")
		if i, err := strconv.Atoi(index); err == nil && i >= 0 && i < len(v) {
			return lookup(v[i], rest)
		}
	}
	return "", false
}

func isObjectList(list []any) bool {
	if len(list) == 0 {
		return false
	}
	_, ok := list[0].(map[string]any)
	return ok
}

// valueText returns the text of a scalar or of a list of scalars; objects have none.
func valueText(v any) (string, bool) {
	switch v := v.(type) {
	case map[string]any:
		return "", false
	case []any:
		if isObjectList(v) {
			return "", false
		}
		items := make([]string, len(v))
		for i, item := range v {
			items[i] = scalarText(item)
		}
		return strings.Join(items, ","), true
	}
	return scalarText(v), true
}

// nameReplacer converts a name to its form in settings: the simulator's protocol does not allow spaces and commas in values.
var nameReplacer = strings.NewReplacer(" ", "_", ",", "_")

// scalarText returns the text of a scalar, or "-" for any other value.
func scalarText(v any) string {
	switch v := v.(type) {
	case string:
		return nameReplacer.Replace(v)
	case bool:
		return strconv.FormatBool(v)
	case json.Number:
		return v.String()
	}
	return "-"
}
