// Command marigoldgauge is a database proxy with session consistency.
package main

import (
	"os"

	"github.com/marigoldgauge/marigoldgauge/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
