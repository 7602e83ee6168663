//go:build review2

// Command standin-2 plays the cases of the second review that are no days of the bench. It starts the
// project's program as separate processes on loopback addresses, with stand-ins of the platform, the
// instances and the clients, and writes what was sent, answered and run to a record.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns a description of how the rule was broken, empty if it held.
var cases = map[string]func(e *environment, trouble bool) (broken string, err error){
	"revoked-key": revokedKey,
	"memory":      memory,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "", "path of the project's program")
	record := flag.String("record", "record.txt", "path of the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *program, *record, *trouble))
}

// play plays a case and returns its exit code.
func play(name, program, record string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	e, err := newEnvironment(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer e.close()
	e.log("case %s, trouble %t, addresses 127.%d.0.0/16", name, trouble, e.subnet)
	watchdog := time.AfterFunc(100*time.Second, func() {
		e.log("the case takes too long")
		e.close()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	broken, err := run(e, trouble)
	switch {
	case err != nil:
		e.log("RESULT not run: %v", err)
		return exitNotRun
	case broken != "":
		e.log("RESULT broken: %s", broken)
		return exitBroken
	default:
		e.log("RESULT held")
		return exitHeld
	}
}
