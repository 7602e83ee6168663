package verifier_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/verifier"
)

const bound = 3 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time in milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestAgeOfTheConfiguration(t *testing.T) {
	tests := []struct {
		name string
		do   func(v *verifier.Verifier)
		want time.Duration
	}{
		{"nothing is known", func(*verifier.Verifier) {}, 5 * time.Second},
		{"read from the store", func(v *verifier.Verifier) { v.Verify(at(4000)) }, time.Second},
		{"an earlier read arrives late", func(v *verifier.Verifier) { v.Verify(at(4000)); v.Verify(at(3000)) }, time.Second},
		{"another VM has the same version", func(v *verifier.Verifier) { v.Install(7); v.Learn(7, at(4500)) }, 500 * time.Millisecond},
		{"another VM is behind", func(v *verifier.Verifier) { v.Install(7); v.Learn(5, at(4500)) }, 500 * time.Millisecond},
		{"another VM is ahead", func(v *verifier.Verifier) { v.Install(7); v.Learn(9, at(4500)) }, 5 * time.Second},
		{"another VM was ahead", func(v *verifier.Verifier) { v.Install(7); v.Learn(9, at(4500)); v.Install(9) }, 500 * time.Millisecond},
		{"another VM is still ahead", func(v *verifier.Verifier) { v.Install(7); v.Learn(9, at(4500)); v.Install(8) }, 5 * time.Second},
		{"an older version is put in force again", func(v *verifier.Verifier) { v.Install(9); v.Install(7); v.Learn(9, at(4500)) }, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			v := verifier.New(start, bound)
			tt.do(v)
			g.Expect(v.Age(at(5000))).To(Equal(tt.want))
			g.Expect(v.UntilRead(at(5000), 0, 1)).To(Equal(max(1800*time.Millisecond-tt.want, 0)))
		})
	}
}

// Each VM of an availability zone that learns nothing reads the store early enough for the
// bound, whatever its rank, and not all at once.
func TestReadBeforeTheBound(t *testing.T) {
	tests := []struct{ rank, vms int }{{0, 1}, {2, 3}, {0, 12}, {11, 12}, {184, 185}, {0, 0}}
	for _, tt := range tests {
		g := NewWithT(t)
		v := verifier.New(start, bound)
		v.Verify(at(1000))
		wait := v.UntilRead(at(1000), tt.rank, tt.vms)
		g.Expect(wait).To(BeNumerically(">", v.WatchTimeout()))
		g.Expect(wait).To(BeNumerically("<=", 3*bound/4))
		g.Expect(v.UntilRead(at(1500), tt.rank, tt.vms)).To(Equal(wait - 500*time.Millisecond))
		g.Expect(v.UntilRead(at(9000), tt.rank, tt.vms)).To(BeZero())
	}
	g := NewWithT(t)
	v := verifier.New(start, bound)
	g.Expect(v.UntilRead(start, 11, 12)).To(BeNumerically(">", v.UntilRead(start, 2, 12)))
}
