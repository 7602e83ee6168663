// Package signer seals the session tokens that callers carry from one proxy to another.
package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

const (
	// maxTokenBytes is the largest token that is looked at.
	maxTokenBytes = 2048
	// maxAge is the age after which a token is refused.
	maxAge = 30 * 24 * time.Hour
	// macBytes is the length of the authentication code within a token.
	macBytes = 16
)

// Secret is one of the keys that the fleet shares to seal tokens.
type Secret struct {
	// ID names the secret within a token.
	ID string
	// Value is the secret itself.
	Value []byte
}

// Signer seals and opens tokens. The first secret seals; all of them open.
type Signer struct {
	secrets []Secret
}

// New returns a Signer; at least one secret is needed.
func New(secrets []Secret) *Signer {
	return &Signer{secrets: secrets}
}

// Seal returns the token of a claim.
func (s *Signer) Seal(c Claim) string {
	body, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	secret := s.secrets[0]
	payload := secret.ID + "." + base64.RawURLEncoding.EncodeToString(body)
	return payload + "." + base64.RawURLEncoding.EncodeToString(mac(secret, payload))
}

// Open returns the claim of a token at now, or an error with code TokenInvalid.
func (s *Signer) Open(now time.Time, token string) (Claim, error) {
	invalid := coder.New(coder.TokenInvalid, "the session token is not valid")
	if len(token) > maxTokenBytes {
		return Claim{}, invalid
	}
	cut := strings.LastIndexByte(token, '.')
	id, body, ok := strings.Cut(token[:max(cut, 0)], ".")
	if !ok {
		return Claim{}, invalid
	}
	sum, err := base64.RawURLEncoding.DecodeString(token[cut+1:])
	if err != nil || !s.valid(id, token[:cut], sum) {
		return Claim{}, invalid
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return Claim{}, invalid
	}
	var c Claim
	if err := json.Unmarshal(raw, &c); err != nil || now.Sub(c.Issued) > maxAge {
		return Claim{}, invalid
	}
	return c, nil
}

// valid checks the authentication code against the secret that the token names.
func (s *Signer) valid(id, payload string, sum []byte) bool {
	for _, secret := range s.secrets {
		if secret.ID == id {
			return hmac.Equal(sum, mac(secret, payload))
		}
	}
	return false
}

// mac computes the authentication code of a payload.
func mac(secret Secret, payload string) []byte {
	h := hmac.New(sha256.New, secret.Value)
	_, _ = h.Write([]byte(payload))
	return h.Sum(nil)[:macBytes]
}
