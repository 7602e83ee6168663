// Package authenticator checks the keys of callers by SCRAM-SHA-256, so that a
// key never crosses the wire and the store holds verifiers only.
package authenticator

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"github.com/marigoldgauge/marigoldgauge/governor"
)

const (
	// Mechanism is the SASL mechanism offered to callers.
	Mechanism = "SCRAM-SHA-256"
	// iterations is the iteration count of new verifiers.
	iterations = 4096
	// saltBytes is the length of a salt.
	saltBytes = 16
	// secretBytes is the length of a new key before it is encoded.
	secretBytes = 24
)

// Authenticator runs the exchanges that prove the possession of a key.
type Authenticator struct {
	decoy []byte
}

// New returns an Authenticator. The decoy secret makes the salts of unknown
// keys look like those of known ones; the fleet shares it.
func New(decoy []byte) *Authenticator {
	return &Authenticator{decoy: decoy}
}

// Conversation is one exchange with a caller.
type Conversation struct {
	scram *scram.ServerConversation
	known bool
}

// Begin starts the exchange for a key; unknown keys run the same exchange and fail.
func (a *Authenticator) Begin(id string, key governor.Key, known bool) (*Conversation, error) {
	if !known {
		key = a.fake(id)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(key.Salt), Iters: key.Iterations},
			StoredKey:  key.StoredKey,
			ServerKey:  key.ServerKey,
		}, nil
	})
	if err != nil {
		return nil, eris.Wrap(err, "preparing the exchange")
	}
	return &Conversation{scram: server.NewConversation(), known: known}, nil
}

// Step takes a message of the caller and returns the answer.
func (c *Conversation) Step(message []byte) ([]byte, error) {
	answer, err := c.scram.Step(string(message))
	return []byte(answer), eris.Wrap(err, "checking a message of the exchange")
}

// Valid reports whether the caller has proved possession of a known key.
func (c *Conversation) Valid() bool {
	return c.known && c.scram.Done() && c.scram.Valid()
}

// fake returns a verifier that no key fulfils.
func (a *Authenticator) fake(id string) governor.Key {
	return governor.Key{
		Salt:       a.derive("salt", id)[:saltBytes],
		Iterations: iterations,
		StoredKey:  a.derive("stored", id),
		ServerKey:  a.derive("server", id),
	}
}

// derive computes a stable value of an identifier.
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

// Verifier returns what the store keeps of a key.
func Verifier(id, secret string) (governor.Key, error) {
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt)
	client, err := scram.SHA256.NewClient(id, secret, "")
	if err != nil {
		return governor.Key{}, eris.Wrap(err, "preparing the verifier")
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return governor.Key{}, eris.Wrap(err, "computing the verifier")
	}
	return governor.Key{ID: id, Salt: salt, Iterations: iterations, StoredKey: stored.StoredKey, ServerKey: stored.ServerKey}, nil
}
