// Package signer signs and verifies the session tokens that clients pass from
// one proxy to another.
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
	// maxTokenBytes is the maximum length of a token; longer ones are invalid.
	maxTokenBytes = 2048
	// maxAge is the age at which a token expires.
	maxAge = 30 * 24 * time.Hour
	// macBytes is the length of the truncated HMAC in a token.
	macBytes = 16
)

// Secret is a signing key that is shared by the VMs of the fleet.
type Secret struct {
	// ID identifies the secret in a token.
	ID string
	// Value is the HMAC key.
	Value []byte
}

// Signer signs and verifies tokens. It signs with the first secret and accepts
// signatures of all secrets, so that secrets can be rotated.
type Signer struct {
	secrets []Secret
}

// New returns a Signer. At least one secret is required.
func New(secrets []Secret) *Signer {
	return &Signer{secrets: secrets}
}

// Sign returns the signed token of a claim.
func (s *Signer) Sign(c Claim) string {
	body, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	secret := s.secrets[0]
	payload := secret.ID + "." + base64.RawURLEncoding.EncodeToString(body)
	return payload + "." + base64.RawURLEncoding.EncodeToString(computeMAC(secret, payload))
}

// Verify returns the claim of a token. It returns an error with code
// TokenInvalid if the token is malformed, not authentic, or expired at now.
func (s *Signer) Verify(now time.Time, token string) (Claim, error) {
	invalid := coder.New(coder.TokenInvalid, "the session token is not valid")
	if len(token) > maxTokenBytes {
		return Claim{}, invalid
	}
	dot := strings.LastIndexByte(token, '.')
	id, body, ok := strings.Cut(token[:max(dot, 0)], ".")
	if !ok {
		return Claim{}, invalid
	}
	sum, err := base64.RawURLEncoding.DecodeString(token[dot+1:])
	if err != nil || !s.validMAC(id, token[:dot], sum) {
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

// validMAC reports whether sum is the HMAC of the payload with the secret id.
func (s *Signer) validMAC(id, payload string, sum []byte) bool {
	for _, secret := range s.secrets {
		if secret.ID == id {
			return hmac.Equal(sum, computeMAC(secret, payload))
		}
	}
	return false
}

// computeMAC returns the truncated HMAC of a payload.
func computeMAC(secret Secret, payload string) []byte {
	h := hmac.New(sha256.New, secret.Value)
	_, _ = h.Write([]byte(payload))
	return h.Sum(nil)[:macBytes]
}
