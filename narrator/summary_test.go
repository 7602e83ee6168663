package narrator_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/narrator"
)

const failuresLog = `timestamp=2026-10-24T11:54:34.1Z level=info message=refuse request=1 code=MG-402 route-kind=primary reason="no connection is free in time, last full at i-1"
timestamp=2026-10-24T11:54:34.2Z level=info message=refuse request=2 code=MG-402 route-kind=primary reason="no connection is free in time, last full at i-2"
timestamp=2026-10-24T11:54:34.3Z level=info message=refuse request=3 code=MG-401 route-kind=primary organisation=o
timestamp=2026-10-24T11:54:34.4Z level=info message=slow request=4 route-kind=read-your-writes last=done admission=1ms placing=2ms linking=700.5ms running=90ms
timestamp=2026-10-24T11:54:34.5Z level=info message=slow request=1 route-kind=primary last=full linking=700ms
timestamp=2026-10-24T11:54:35.9Z level=info message=lines-left-out kind=refuse lines=17
timestamp=2026-10-24T11:54:35.9Z level=info message=lines-left-out kind=no-connection lines=5
timestamp=2026-10-24T11:54:36.1Z level=info message=in-doubt request=5 code=MG-501
timestamp=2026-10-24T11:54:36.2Z level=info message=failed request=6 result=failed instance=i-1
timestamp=2026-10-24T11:54:36.2Z level=info message=abort request=7 reason="reading an answer: read tcp4 10.0.0.1:1->10.0.0.2:2: i/o timeout"
timestamp=2026-10-24T11:54:36.3Z level=info message=primary-changed group=g primary=i-2
`

func TestSummary(t *testing.T) {
	g := NewWithT(t)
	var n narrator.Narrator
	g.Expect(n.Read("vm", strings.NewReader(failuresLog))).To(Succeed())
	firstInterval := time.Date(2026, 10, 24, 11, 54, 34, 0, time.UTC)
	secondInterval := firstInterval.Add(2 * time.Second)
	g.Expect(n.Summary(2 * time.Second)).To(Equal([]narrator.SummaryRow{
		{From: firstInterval, Outcome: narrator.LinesDropped, Reason: "refuse", Count: 17},
		{From: firstInterval, Outcome: narrator.Refused, RouteKind: "primary", Reason: "no connection is free in time", Count: 2},
		{From: firstInterval, Outcome: narrator.Late, RouteKind: "read-your-writes", Reason: "linking", Count: 1},
		{From: firstInterval, Outcome: narrator.Refused, RouteKind: "primary", Reason: "MG-401", Count: 1},
		{From: secondInterval, Outcome: narrator.Failed, Reason: "failed", Count: 1},
		{From: secondInterval, Outcome: narrator.Failed, Reason: "reading an answer", Count: 1},
		{From: secondInterval, Outcome: narrator.InDoubt, Reason: "MG-501", Count: 1},
	}))
}

func TestExplainCommand(t *testing.T) {
	log := filepath.Join(t.TempDir(), "vm-1.log")
	if err := os.WriteFile(log, []byte(failuresLog), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name    string
		command narrator.Command
		request string
		want    string
		code    coder.Code
	}{
		{"a request", narrator.Command{Every: time.Second}, "3", "11:54:34.300 vm-1 refuse request=3 code=MG-401 route-kind=primary organisation=o\n" +
			"11:54:35.900 vm-1 lines-left-out kind=refuse lines=17\n" +
			"11:54:35.900 vm-1 lines-left-out kind=no-connection lines=5\n", coder.OK},
		{"an unknown request", narrator.Command{Every: time.Second}, "none", "", coder.ObjectUnknown},
		{"the summary", narrator.Command{Summary: true, Every: time.Minute}, "", "from        requests  outcome   route kind        reason\n" +
			"11:54:00.0  17        left-out                    refuse\n" +
			"11:54:00.0  2         refused   primary           no connection is free in time\n" +
			"11:54:00.0  1         failed                      failed\n" +
			"11:54:00.0  1         failed                      reading an answer\n" +
			"11:54:00.0  1         in-doubt                    MG-501\n" +
			"11:54:00.0  1         late      read-your-writes  linking\n" +
			"11:54:00.0  1         refused   primary           MG-401\n", coder.OK},
		{"neither", narrator.Command{Every: time.Second}, "", "", coder.UsageInvalid},
		{"both", narrator.Command{Summary: true, Every: time.Second}, "3", "", coder.UsageInvalid},
		{"no span", narrator.Command{Summary: true}, "", "", coder.UsageInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			tt.command.Log = []string{log}
			var out bytes.Buffer
			err := tt.command.Explain(&out, tt.request)
			if tt.code != coder.OK {
				g.Expect(coder.Is(err, tt.code)).To(BeTrue())
			} else {
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(out.String()).To(Equal(tt.want))
		})
	}
}
