package acceptor

import (
	"github.com/marigoldgauge/marigoldgauge/authenticator"
	"github.com/marigoldgauge/marigoldgauge/classifier"
	"github.com/marigoldgauge/marigoldgauge/recorder"
	"github.com/marigoldgauge/marigoldgauge/signer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Dependencies are the settings and dependencies of an Acceptor.
type Dependencies struct {
	// Settings are the settings for client connections.
	Settings Settings
	// Clock provides the current time.
	Clock timekeeper.Clock
	// Configuration provides the configuration in force.
	Configuration Configuration
	// Opener opens units of work.
	Opener Opener
	// Classifier classifies statement texts.
	Classifier *classifier.Classifier
	// Authenticator authenticates clients.
	Authenticator *authenticator.Authenticator
	// Signer signs and verifies session tokens.
	Signer *signer.Signer
	// Recorder records failed requests as events.
	Recorder *recorder.Recorder
	// CancelForwarder forwards cancel requests to other VMs; nil forwards none.
	CancelForwarder CancelForwarder
}
