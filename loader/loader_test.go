package loader_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/loader"
)

func readValidSettings(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("testdata/settings.yaml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

func TestAnnotatedSettingsAreValid(t *testing.T) {
	g := NewWithT(t)
	s, err := loader.Load("testdata/settings.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Callers.QueueTimeout).To(Equal(4 * time.Second))
	g.Expect(s.Groups[0].Instances).To(HaveLen(3))
}

func TestInvalidSettings(t *testing.T) {
	tests := []struct {
		name, old, new, want string
	}{
		{"unknown field", "  id: vm-1", "  id: vm-1\n  availability-zoen: a", `settings.yaml:5:3: unknown field "availability-zoen"; did you mean "availability-zone"?`},
		{"wrong type", "require-tls: false", "require-tls: perhaps", "settings.yaml:"},
		{"missing identifier", "  id: vm-1", "  id: \"\"", "vm.id is missing"},
		{"short secret", "value: at-least-sixteen-characters", "value: short", "shorter than 16"},
		{"invalid address", "127.0.0.1:7400", "somewhere", "settings.yaml:"},
		{"invalid log level", "level: info", "level: loud", "log.level must be"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			text := readValidSettings(t)
			g.Expect(text).To(ContainSubstring(tt.old))
			_, err := loader.Parse("settings.yaml", []byte(strings.Replace(text, tt.old, tt.new, 1)))
			g.Expect(err).To(MatchError(And(ContainSubstring("MG-101"), ContainSubstring(tt.want))))
		})
	}
}

func FuzzParse(f *testing.F) {
	raw, err := os.ReadFile("testdata/settings.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte("vm: ["))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := loader.Parse("x", raw); err == nil && s.Validate() != nil {
			t.Error("Parse accepted settings that Check rejects")
		}
	})
}
