//go:build !race

package demonstrator_test

// underRace reports whether the race detector is enabled.
const underRace = false
