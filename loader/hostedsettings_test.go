package loader_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/loader"
)

func TestLoadHosted(t *testing.T) {
	g := NewWithT(t)
	h, err := loader.LoadHosted("testdata/hosted.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.Lease).To(Equal(4 * time.Second))
	g.Expect(h.Drain).To(Equal(7 * time.Second))
	g.Expect(h.Configuration).To(Equal(3 * time.Second))
	g.Expect(h.Listen.Peers.String()).To(Equal("10.1.0.26:7560"))
	g.Expect(h.Log.Level).To(Equal("info"))
}

func TestInvalidHosted(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"empty required field", `store: "10.200.1.7:8466"`, `store: ""`, "platform.store is missing"},
		{"wrong type", "descriptors: 4200", "descriptors: many", "hosted.yaml:"},
		{"invalid address", `callers: "10.1.0.26:8465"`, `callers: "somewhere"`, "hosted.yaml:"},
		{"unknown field", `grace: "6s"`, `graec: "6s"`, `did you mean "grace"?`},
		{"lease too short", `lease: "4000ms"`, `lease: "4ms"`, "lease must be at least 1s"},
		{"drain too short", `grace: "6s"`, "grace: 6s\ndrain: 2s", "drain must be at least 3s"},
		{"bound of the configuration too short", `grace: "6s"`, "grace: 6s\nconfiguration: 900ms", "configuration must be at least 1s"},
		{"negative rate", `duties: "10.200.0.2:8466"`, `duties-rate: -1`, "platform.duties-rate must be a positive number"},
		{"rate without a bound", `duties: "10.200.0.2:8466"`, `duties-rate: .inf`, "platform.duties-rate must be a positive number"},
		{"missing identifier", `id: "edge-1"`, `id: ""`, "vm.id is missing"},
	}
	raw, err := os.ReadFile("testdata/hosted.yaml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(string(raw)).To(ContainSubstring(tt.old))
			_, err := loader.ParseHosted("hosted.yaml", []byte(strings.Replace(string(raw), tt.old, tt.new, 1)))
			g.Expect(err).To(MatchError(And(ContainSubstring("MG-101"), ContainSubstring(tt.want))))
		})
	}
}

// The template leaves the value empty where the platform does not state its rate: such a
// file must load, with the default.
func TestDutiesRate(t *testing.T) {
	tests := []struct {
		name, line string
		want       float64
	}{
		{"absent", "", 50},
		{"empty", "  duties-rate: ", 50},
		{"zero", "  duties-rate: 0", 50},
		{"integer", "  duties-rate: 120", 120},
		{"fraction", "  duties-rate: 0.5", 0.5},
	}
	raw, err := os.ReadFile("testdata/hosted.yaml")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			h, err := loader.ParseHosted("hosted.yaml", []byte(strings.Replace(string(raw), "platform:\n", "platform:\n"+tt.line+"\n", 1)))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(h.Platform.DutiesRate).To(Equal(tt.want))
		})
	}
}
