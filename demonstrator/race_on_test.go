//go:build race

package demonstrator_test

// underRace reports whether the race detector is enabled. The detector itself
// fails in very long synctest bubbles (a fault within its runtime, or
// "CHECK failed: tsan_rtl.cpp"), so long demonstrations are shortened under it.
const underRace = true
