package acceptor

import (
	"github.com/marigoldgauge/marigoldgauge/authenticator"
	"github.com/marigoldgauge/marigoldgauge/classifier"
	"github.com/marigoldgauge/marigoldgauge/explainer"
	"github.com/marigoldgauge/marigoldgauge/signer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Parts are what an Acceptor is built from.
type Parts struct {
	// Settings describe how callers are served.
	Settings Settings
	// Clock tells the present time.
	Clock timekeeper.Clock
	// Configuration is the configuration in force.
	Configuration Configuration
	// Opener opens units of work.
	Opener Opener
	// Classifier tells reads from writes.
	Classifier *classifier.Classifier
	// Authenticator checks keys.
	Authenticator *authenticator.Authenticator
	// Signer seals session tokens.
	Signer *signer.Signer
	// Recorder takes the decisions.
	Recorder *explainer.Recorder
	// Cancels passes cancel requests on.
	Cancels CancelForwarder
}
