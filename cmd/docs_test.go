package cmd_test

import (
	"bytes"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/cmd"
)

// The committed pages must equal the output of the commands that generate them.
func TestGeneratedPages(t *testing.T) {
	tests := []struct {
		page string
		args []string
	}{
		{"../docs/CODES.md", []string{"codes", "--markdown"}},
		{"../docs/CAPACITY-postgresql.md", []string{"capacity", "--slopes", "../docs/slopes.txt"}},
		{"../docs/CAPACITY.md", []string{"capacity", "--slopes", "../docs/slopes.txt", "--page", "platform"}},
	}
	for _, tt := range tests {
		t.Run(tt.page, func(t *testing.T) {
			g := NewWithT(t)
			var out, errOut bytes.Buffer
			g.Expect(cmd.Main(tt.args, &out, &errOut)).To(BeZero(), errOut.String())
			want, err := os.ReadFile(tt.page)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(out.String()).To(Equal(string(want)))
		})
	}
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
		text string
	}{
		{"unknown command", []string{"frobnicate"}, 2, "MG-108"},
		{"valid settings", []string{"check", "../loader/testdata/settings.yaml"}, 0, ""},
		{"platform unreachable", []string{"--platform", "http://127.0.0.1:1", "history"}, 1, "MG-102"},
		{"process unreachable", []string{"dump", "127.0.0.1:1"}, 1, "MG-109"},
		{"nothing to set", []string{"--platform", "http://127.0.0.1:1", "propose", "--organisation", "o"}, 2, "MG-108"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			var out, errOut bytes.Buffer
			g.Expect(cmd.Main(tt.args, &out, &errOut)).To(Equal(tt.want))
			g.Expect(errOut.String()).To(ContainSubstring(tt.text))
		})
	}
}
