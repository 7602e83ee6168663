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

// seeds is the number of seeds that a measurement runs with.
var seeds = flag.Int("seeds", 3, "number of seeds of a measurement")

// responseTimeout bounds the time to a final response: queueing before the
// request starts (4 s), waiting for its confirmation (3 s) and 1 s of latency.
const responseTimeout = 8 * time.Second

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
			t.Parallel()
			g := NewWithT(t)
			f := run(t, o)
			g.Expect(f.InvariantViolated()).To(BeFalse())
			g.Expect(float64(f.Refused)).To(BeNumerically("<=", 0.001*float64(f.Requests)))
			g.Expect(f.Reads).To(BeNumerically(">", 500))
		})
	}
}

func TestFailoverGap(t *testing.T) {
	tests := []struct {
		deployment string
		alone      bool
		// regressions are additional seeds that once exceeded the bound on the gap.
		regressions []int
	}{
		{"campusweg", true, nil},
		// Seed 5: after the partition had healed, the VM that rejoined the fleet
		// handed the pool over again and then paused for 3 s before taking it, while
		// all VMs regarded it as the owner.
		{"campusweg", false, []int{5}},
		{"lepidlo", true, nil},
		{"lepidlo", false, nil},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s alone=%t", tt.deployment, tt.alone), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var gaps []time.Duration
			runSeed := func(seed int) time.Duration {
				f := run(t, demonstrator.Options{Deployment: tt.deployment, For: 8 * time.Second, Failover: true, PrimaryOnly: tt.alone, Seed: uint64(seed)})
				g.Expect(f.InvariantViolated()).To(BeFalse(), "seed %d", seed)
				g.Expect(f.LongestResponse).To(BeNumerically("<=", responseTimeout), "seed %d", seed)
				t.Logf("%s alone=%t seed=%d gap=%s", tt.deployment, tt.alone, seed, f.FailoverGap.Round(time.Millisecond))
				return f.FailoverGap
			}
			for seed := range *seeds {
				gaps = append(gaps, runSeed(seed))
			}
			for _, seed := range tt.regressions {
				g.Expect(runSeed(seed)).To(BeNumerically("<=", 3*time.Second), "seed %d", seed)
			}
			slices.Sort(gaps)
			t.Logf("%s alone=%t seeds=%d p50=%s worst=%s", tt.deployment, tt.alone, *seeds,
				gaps[len(gaps)/2].Round(time.Millisecond), gaps[len(gaps)-1].Round(time.Millisecond))
			if tt.alone {
				g.Expect(gaps[len(gaps)/2]).To(BeNumerically("<=", time.Second))
			}
			g.Expect(gaps[len(gaps)-1]).To(BeNumerically("<=", 3*time.Second))
		})
	}
}

// Under a read-heavy load (32 clients per organisation, a twentieth of the
// requests are writes), no read is stale at any replication lag, and replicas
// serve at least 90% of the reads at a lag of up to 1 s.
func TestReplicaReadShare(t *testing.T) {
	tests := []struct {
		lag      time.Duration
		minShare float64
	}{
		{100 * time.Millisecond, 0.9}, {time.Second, 0.9}, {5 * time.Second, 0}, {30 * time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.lag.String(), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := run(t, demonstrator.Options{Deployment: "lepidlo", For: time.Minute, Clients: 32, WriteFraction: 0.05, LoadFraction: 0.25, Lag: tt.lag, Seed: 1})
			t.Logf("lag=%s replica-read-share=%.3f naive=%.3f", tt.lag, f.ReplicaShare(), f.NaiveShare)
			g.Expect(f.InvariantViolated()).To(BeFalse())
			g.Expect(f.ReplicaShare()).To(BeNumerically(">=", tt.minShare))
		})
	}
}
