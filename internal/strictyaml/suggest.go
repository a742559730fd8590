package strictyaml

import "fmt"

// maxEdits is the number of edits from which on a known key is too far from a mistyped one to be suggested.
const maxEdits = 3

// nearest suggests a known key for a mistyped one.
func nearest(key string, known map[string]int) string {
	best, least := "", maxEdits
	for k := range known {
		if n := edits(key, k); n < least || n == least && best != "" && k < best {
			best, least = k, n
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// edits is the Levenshtein distance.
func edits(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := last
			if a[i] != b[j] {
				change++
			}
			last = row[j+1]
			row[j+1] = min(change, last+1, row[j]+1)
		}
	}
	return row[len(b)]
}
