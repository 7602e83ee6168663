package gossiper

import (
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against two fields of a message with the same key, which are both left out of it.
func TestKeysOfMessagesAreDistinct(t *testing.T) {
	tests := []struct {
		name    string
		message any
	}{
		{"message", Message{}},
		{"compact message", compactMessage{}},
		{"digest", Digest{}},
		{"compact digest", compactDigest{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			numbers := map[string]bool{}
			for n := range reflect.TypeOf(tt.message).NumField() {
				f := reflect.TypeOf(tt.message).Field(n)
				number, _, ok := strings.Cut(f.Tag.Get("cbor"), ",")
				if !ok {
					continue
				}
				g.Expect(numbers).NotTo(HaveKey(number), f.Name)
				numbers[number] = true
			}
			g.Expect(numbers).NotTo(BeEmpty())
		})
	}
}
