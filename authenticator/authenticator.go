// Package authenticator authenticates clients by SCRAM-SHA-256, so that keys are
// never sent in plain text and the store holds verifiers only.
package authenticator

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"github.com/marigoldgauge/marigoldgauge/configurator"
)

const (
	// Mechanism is the SASL mechanism offered to clients.
	Mechanism = "SCRAM-SHA-256"
	// iterations is the SCRAM iteration count of new verifiers.
	iterations = 4096
	// saltBytes is the length of the salt of a verifier.
	saltBytes = 16
	// secretBytes is the length of a new key before Base64 encoding.
	secretBytes = 24
)

// Authenticator starts SCRAM exchanges, in which clients prove the possession of
// a key.
type Authenticator struct {
	decoy []byte
}

// New returns an Authenticator. The salts of unknown keys are derived from the
// decoy secret, so that unknown keys cannot be told from known ones. All VMs of
// the fleet share the secret.
func New(decoy []byte) *Authenticator {
	return &Authenticator{decoy: decoy}
}

// Conversation is a SCRAM exchange with a client.
type Conversation struct {
	server *scram.ServerConversation
	known  bool
}

// Begin starts the exchange for a key. For an unknown key the exchange takes the
// same course and fails.
func (a *Authenticator) Begin(id string, key configurator.Key, known bool) (*Conversation, error) {
	if !known {
		key = a.decoyVerifier(id)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(key.Salt), Iters: key.Iterations},
			StoredKey:  key.StoredKey,
			ServerKey:  key.ServerKey,
		}, nil
	})
	if err != nil {
		return nil, eris.Wrap(err, "starting the SCRAM exchange")
	}
	return &Conversation{server: server.NewConversation(), known: known}, nil
}

// Step processes a message of the client and returns the response.
func (c *Conversation) Step(message []byte) ([]byte, error) {
	response, err := c.server.Step(string(message))
	return []byte(response), eris.Wrap(err, "processing a message of the SCRAM exchange")
}

// Valid reports whether the client has proved the possession of a known key.
func (c *Conversation) Valid() bool {
	return c.known && c.server.Done() && c.server.Valid()
}

// decoyVerifier returns a verifier that no key matches.
func (a *Authenticator) decoyVerifier(id string) configurator.Key {
	return configurator.Key{
		Salt:       a.derive("salt", id)[:saltBytes],
		Iterations: iterations,
		StoredKey:  a.derive("stored", id),
		ServerKey:  a.derive("server", id),
	}
}

// derive returns a value that depends on the label, the identifier and the decoy
// secret only.
func (a *Authenticator) derive(label, id string) []byte {
	h := hmac.New(sha256.New, a.decoy)
	_, _ = h.Write([]byte(label + "\x00" + id))
	return h.Sum(nil)
}

// NewSecret returns a new random key.
func NewSecret() string {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Verifier returns the SCRAM verifier of a key, which is stored in place of it.
func Verifier(id, secret string) (configurator.Key, error) {
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt)
	client, err := scram.SHA256.NewClient(id, secret, "")
	if err != nil {
		return configurator.Key{}, eris.Wrap(err, "creating a SCRAM client for the verifier")
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return configurator.Key{}, eris.Wrap(err, "computing the SCRAM verifier")
	}
	return configurator.Key{ID: id, Salt: salt, Iterations: iterations, StoredKey: stored.StoredKey, ServerKey: stored.ServerKey}, nil
}
