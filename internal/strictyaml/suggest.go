package strictyaml

import "fmt"

// tooManyEdits is the edit distance to a mistyped key at which a known key is no longer suggested: it differs too much.
const tooManyEdits = 3

// suggestion returns a text that suggests the known key with the smallest edit distance to a mistyped key, or "" if every
// distance is tooManyEdits or more.
func suggestion(key string, known map[string]int) string {
	best, least := "", tooManyEdits
	for k := range known {
		if n := editDistance(key, k); n < least || n == least && best != "" && k < best {
			best, least = k, n
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// editDistance returns the Levenshtein distance of two keys in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, diagonal+1, row[j]+1)
		}
	}
	return row[len(b)]
}
