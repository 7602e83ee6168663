package demonstrator_test

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/demonstrator"
)

// seeds is the number of seeds of a measurement.
var seeds = flag.Int("seeds", 3, "number of seeds of a measurement")

// run runs a demonstration in virtual time.
func run(t *testing.T, o demonstrator.Options) demonstrator.Figures {
	t.Helper()
	var f demonstrator.Figures
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := io.Discard
		if testing.Verbose() {
			out = os.Stdout
		}
		var err error
		f, err = demonstrator.Run(t.Context(), out, o)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Minute)
	})
	return f
}

func TestInvariantsUnderLoad(t *testing.T) {
	tests := []demonstrator.Options{
		{Deployment: "campusweg", For: 10 * time.Second},
		{Deployment: "lepidlo", For: 10 * time.Second},
		{Deployment: "campusweg", For: 10 * time.Second, Surge: true},
		{Deployment: "lepidlo", For: 10 * time.Second, Surge: true},
	}
	for _, o := range tests {
		t.Run(fmt.Sprintf("%s surge=%t", o.Deployment, o.Surge), func(t *testing.T) {
			g := NewWithT(t)
			f := run(t, o)
			g.Expect(f.Broken()).To(BeFalse())
			g.Expect(float64(f.Refused)).To(BeNumerically("<=", 0.001*float64(f.Asked)))
			g.Expect(f.Reads).To(BeNumerically(">", 500))
		})
	}
}

func TestFailoverGap(t *testing.T) {
	for _, deployment := range []string{"campusweg", "lepidlo"} {
		t.Run(deployment, func(t *testing.T) {
			g := NewWithT(t)
			var gaps []time.Duration
			for seed := range *seeds {
				f := run(t, demonstrator.Options{Deployment: deployment, For: 10 * time.Second, Failover: true, Seed: uint64(seed)})
				g.Expect(f.Broken()).To(BeFalse(), "seed %d", seed)
				gaps = append(gaps, f.Gap)
			}
			slices.Sort(gaps)
			t.Logf("deployment=%s seeds=%d p50=%s worst=%s", deployment, *seeds, gaps[len(gaps)/2], gaps[len(gaps)-1])
			g.Expect(gaps[len(gaps)-1]).To(BeNumerically("<=", 3*time.Second))
		})
	}
}
