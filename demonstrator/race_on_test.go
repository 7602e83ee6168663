//go:build race

package demonstrator_test

// underRace reports that the race detector watches the tests. It fails on its
// own in very long bubbles of virtual time (a fault within its runtime, or
// "CHECK failed: tsan_rtl.cpp"), so long demonstrations are short under it.
const underRace = true
