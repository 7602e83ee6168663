package signer_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/signer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// now is the current time in the tests.
var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// claim is a typical claim of a session.
var claim = signer.Claim{Organisation: "o", Group: "g", Position: tracker.Position{Term: 3, Offset: 7}, Issued: now}

func secret(id string) signer.Secret {
	return signer.Secret{ID: id, Value: []byte("value-of-" + id)}
}

func TestVerifyAfterSecretRotation(t *testing.T) {
	g := NewWithT(t)
	token := signer.New([]signer.Secret{secret("old")}).Sign(claim)
	c, err := signer.New([]signer.Secret{secret("new"), secret("old")}).Verify(now, token)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c).To(Equal(claim))
}

func TestInvalidTokens(t *testing.T) {
	s := signer.New([]signer.Secret{secret("a")})
	good := s.Sign(claim)
	tests := []struct {
		name  string
		token string
		now   time.Time
	}{
		{"empty", "", now},
		{"no separators", "abc", now},
		{"unknown secret", signer.New([]signer.Secret{secret("b")}).Sign(claim), now},
		{"same ID, different secret", signer.New([]signer.Secret{{ID: "a", Value: []byte("other")}}).Sign(claim), now},
		{"modified body", strings.Replace(good, "a.e", "a.f", 1), now},
		{"truncated", good[:len(good)-1], now},
		{"too long", strings.Repeat("x", 3000), now},
		{"expired", good, now.AddDate(0, 2, 0)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := s.Verify(tt.now, tt.token)
			g.Expect(err).To(MatchError(ContainSubstring("MG-301")))
		})
	}
}

func FuzzVerify(f *testing.F) {
	s := signer.New([]signer.Secret{secret("a")})
	f.Add(s.Sign(claim))
	f.Add("a.b.c")
	f.Add("..")
	f.Fuzz(func(t *testing.T, token string) {
		if c, err := s.Verify(now, token); err == nil && s.Sign(c) != token {
			t.Errorf("token %q was accepted but differs from the signed one", token)
		}
	})
}
