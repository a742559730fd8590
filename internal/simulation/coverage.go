package simulation

import (
	"slices"
)

// Verbs returns the sorted verbs of the faults that a generator can draw.
func Verbs() (names []string) {
	for _, k := range faultKinds {
		if !slices.Contains(names, string(k.verb)) {
			names = append(names, string(k.verb))
		}
	}
	slices.Sort(names)
	return names
}

// CoverageGoals returns the keys of Outcome.Reached that a search should cover: faults, effects of the core, endings of
// requests and error paths.
func CoverageGoals() []string {
	names := []string{"answer broken", "answer cut off", "answer flows", "client drips", "client left", "client makes noise", "client quits",
		"client reset", "client too slow", "dial refused", "line reset", "list broken", "stream silent", "status 200", "status 400", "status 408",
		"status 413", "status 429", "status 502", "status 503", "status 504", "try served", "try refused", "try failed", "try cut", "try no door", "try left"}
	names = append(names, effectNames...)
	for _, v := range Verbs() {
		names = append(names, "trouble "+v)
	}
	return names
}
