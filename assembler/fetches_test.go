package assembler

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// One VM is asked at a time; once it is late a second one that was heard since,
// and no third.
// What else is fetched does not matter.
func TestSecondVMIsAskedWhenTheFirstIsLate(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	late := start.Add(fetchLate)
	var f fetches
	answer := make(chan struct{})
	hang := func() { <-answer }
	first, second, third := source{"/catalogue", "a"}, source{"/catalogue", "b"}, source{"/catalogue", "c"}
	g.Expect(f.may(start, start, first)).To(BeTrue())
	f.start(start, first, hang)
	g.Expect(f.may(start, start, second)).To(BeFalse())
	g.Expect(f.may(start, start, source{"/instances", "b"})).To(BeTrue())
	g.Expect(f.may(late, late, first)).To(BeFalse())
	g.Expect(f.may(late, start, second)).To(BeFalse(), "it was not heard since the first was asked")
	g.Expect(f.may(late, late, second)).To(BeTrue())
	f.start(late, second, hang)
	g.Expect(f.may(late.Add(fetchLate), late.Add(fetchLate), third)).To(BeFalse())
	close(answer)
	g.Expect(f.group.Wait()).To(Succeed())
	g.Expect(f.may(late, late, third)).To(BeTrue())
}
