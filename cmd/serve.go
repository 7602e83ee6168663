package cmd

import (
	"context"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/runner"
)

// serveCmd runs a proxy process.
type serveCmd struct {
	Settings string `help:"Settings file." required:"" type:"existingfile" short:"s"`
}

// Run runs the process until it receives a stop signal, and then drains it.
func (c *serveCmd) Run(s *session) error {
	settings, err := loader.Load(c.Settings)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(settings.Log.Level)
	if err != nil {
		return coder.New(coder.SettingsInvalid, err.Error())
	}
	logger := &log.Logger{Handler: logfmt.New(os.Stderr), Level: level}
	p, err := runner.New(settings, runner.NewEnvironment(logger))
	if err != nil {
		return err
	}
	logger.WithFields(log.Fields{
		"vm":        settings.VM.ID,
		"callers":   settings.Listen.Callers.String(),
		"peers":     settings.Listen.Peers.String(),
		"operators": settings.Listen.Operators.String(),
	}).Info("started")
	return runUntilStopped(s.context, p)
}

// runUntilStopped runs a process. When ctx ends it drains the process and then stops
// it.
func runUntilStopped(ctx context.Context, p *runner.Process) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	waitCtx, stopWaiting := context.WithCancel(ctx)
	defer stopWaiting()
	var group errgroup.Group
	group.Go(func() error {
		defer stopWaiting()
		return p.Run(runCtx)
	})
	group.Go(func() error {
		<-waitCtx.Done()
		if ctx.Err() != nil {
			p.Drain(runCtx)
		}
		cancel()
		return nil
	})
	return group.Wait()
}
