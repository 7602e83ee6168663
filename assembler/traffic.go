package assembler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/measurer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// callersPurpose and unitsPurpose are the purposes under which the traffic of sessions of
// callers and of units of work between VMs is counted.
const (
	callersPurpose = "callers"
	unitsPurpose   = "units"
)

// trafficLogInterval is the interval at which the traffic since the start is logged, so
// that the last line of a killed process is recent.
const trafficLogInterval = 10 * time.Second

// logTraffic logs the traffic of the process by purpose until ctx ends, and once then.
func (p *Proxy) logTraffic(ctx context.Context) error {
	for timekeeper.Sleep(ctx, trafficLogInterval) {
		p.logTotals()
	}
	p.logTotals()
	return nil
}

// logTotals logs one line for each purpose with the traffic since the start.
func (p *Proxy) logTotals() {
	for _, t := range p.Parts.Accountant.Totals() {
		p.Journal.LogStateChange("traffic", journaler.F("incarnation", p.State.incarnation), journaler.F("purpose", t.Purpose),
			journaler.F("sent", t.BytesSent), journaler.F("received", t.BytesReceived),
			journaler.F("messages-sent", t.MessagesSent), journaler.F("messages-received", t.MessagesReceived))
	}
}

// trafficSamples returns the metrics of the traffic by purpose.
func (p *Proxy) trafficSamples() []measurer.Sample {
	var out []measurer.Sample
	for _, t := range p.Parts.Accountant.Totals() {
		out = append(out,
			counter(t.BytesSent, "traffic_bytes_total{purpose=%q,direction=%q}", t.Purpose, "sent"),
			counter(t.BytesReceived, "traffic_bytes_total{purpose=%q,direction=%q}", t.Purpose, "received"),
			counter(t.MessagesSent, "traffic_messages_total{purpose=%q,direction=%q}", t.Purpose, "sent"),
			counter(t.MessagesReceived, "traffic_messages_total{purpose=%q,direction=%q}", t.Purpose, "received"),
		)
	}
	return out
}
