package runner

import (
	"go.uber.org/dig"

	"github.com/marigoldgauge/marigoldgauge/acceptor"
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/recorder"
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// dumpInputs are the dependencies of the state dump.
type dumpInputs struct {
	dig.In

	Settings    loader.Settings
	Environment Environment
	Store       *keeper.Client
	Log         *configurator.Log
	Recorder    *recorder.Recorder
	Registrar   *registrar.Registrar
	Manager     *pooler.Manager
	Acceptor    *acceptor.Acceptor
	State       *state
}
