//go:build !race

package demonstrator_test

// underRace reports that the race detector watches the tests.
const underRace = false
