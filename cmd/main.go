// Package cmd implements the command line, with one file for each command.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// Exit codes of the command line.
const (
	// exitOK means that the command succeeded.
	exitOK = 0
	// exitFailed means that the command failed. The message contains the result code.
	exitFailed = 1
	// exitUsage means that the command was called with invalid arguments.
	exitUsage = 2
	// exitConflict means that another change was accepted first.
	exitConflict = 3
	// exitUnknown means that the outcome is unknown. Repeating the command is safe.
	exitUnknown = 4
	// exitInvariantViolated means that an invariant was violated during a demonstration.
	exitInvariantViolated = 5
)

// cli defines the commands and flags for Kong.
type cli struct {
	Platform string `help:"Address of the platform's store." default:"http://127.0.0.1:8400" env:"MARIGOLDGAUGE_PLATFORM"`
	Output   string `help:"Format of the output: human or json." enum:"human,json" default:"human" short:"o"`
	Operator string `help:"Name under which changes are proposed and accepted." default:"operator" env:"MARIGOLDGAUGE_OPERATOR"`

	Serve        serveCmd                     `cmd:"" help:"Run a proxy process."`
	Check        checkCmd                     `cmd:"" help:"Check a settings file."`
	Template     templateCmd                  `cmd:"" help:"List or show templates."`
	Organisation organisationCmd              `cmd:"" help:"List or show organisations."`
	Key          keyCmd                       `cmd:"" help:"Issue or withdraw keys."`
	Propose      proposeCmd                   `cmd:"" help:"Propose a change."`
	Plan         planCmd                      `cmd:"" help:"Show what a proposal would do."`
	Accept       acceptCmd                    `cmd:"" help:"Accept a proposal."`
	Watch        watchCmd                     `cmd:"" help:"Watch the rollout of a change."`
	History      historyCmd                   `cmd:"" help:"List or show accepted changes."`
	Dump         dumpCmd                      `cmd:"" help:"Show the state of a process."`
	Explain      explainCmd                   `cmd:"" help:"Explain the last decisions of a process, or the results of requests from logs."`
	Codes        codesCmd                     `cmd:"" help:"Show the result code table."`
	Capacity     capacityCmd                  `cmd:"" help:"Estimate the resources needed at the load expected in two years."`
	Demo         demoCmd                      `cmd:"" help:"Run a small fleet against simulated endpoints under load."`
	Completion   kongplete.InstallCompletions `cmd:"" help:"Print how to install shell completions."`
}

// session holds the context, output and clients of one run of a command.
type session struct {
	context    context.Context
	out        io.Writer
	errOut     io.Writer
	json       bool
	operator   string
	store      *keeper.Client
	repository *configurator.Repository
}

// Main runs the command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var c cli
	parser, err := kong.New(&c, kong.Name("marigoldgauge"),
		kong.Description("A database proxy with session consistency."),
		kong.UsageOnError(), kong.Writers(out, errOut), kong.Exit(os.Exit))
	if err != nil {
		panic(err)
	}
	kongplete.Complete(parser)
	k, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, coder.New(coder.UsageInvalid, err.Error()))
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &session{context: ctx, out: out, errOut: errOut, json: c.Output == "json", operator: c.Operator}
	s.store = keeper.New(c.Platform, http.DefaultTransport)
	s.repository = configurator.NewRepository(s.store)
	if err := k.Run(s); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitCode(err)
	}
	return exitOK
}

// errInvariantViolated is the error of a demonstration in which an invariant was violated.
var errInvariantViolated = errors.New("an invariant was violated")

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errInvariantViolated):
		return exitInvariantViolated
	case coder.Is(err, coder.ProposalConflict):
		return exitConflict
	case coder.Is(err, coder.AcceptUnknown):
		return exitUnknown
	case coder.Is(err, coder.UsageInvalid):
		return exitUsage
	default:
		return exitFailed
	}
}
