// Command standin plays the script cases of the review: it starts the program of the deploy
// file as separate processes on loopback addresses, with stand-ins of the platform, the
// instances and the clients, and checks one rule.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// playCase plays a case.
type playCase func(r *record, dir string, trouble bool) error

// cases holds the cases by name.
var cases = map[string]playCase{"drill": playDrill, "drain": playDrain}

func main() {
	name := flag.String("case", "", "case to play")
	out := flag.String("record", "record.txt", "file to which the record is written")
	flag.Parse()
	os.Exit(play(*name, *out, os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(name, path string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	out, err := os.Create(filepath.Clean(path))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "marigoldgauge-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", dir)
	}
	r := newRecord(out)
	r.add("case %s, disruption: %t", name, trouble)
	err = run(r, dir, trouble)
	switch {
	case err == nil:
		r.add("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.add("result: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitBroken
	default:
		r.add("result: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
}
