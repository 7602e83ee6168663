package assembler

import (
	"fmt"
	"time"

	"github.com/marigoldgauge/marigoldgauge/measurer"
)

// mostOrganisations bounds the organisations among the labels: those that asked
// this VM the most are told.
const mostOrganisations = 128

// samples returns what the metrics tell beside the counts of requests.
func (p *Proxy) samples() []measurer.Sample {
	now := p.Parts.Clock.Now()
	out := p.processSamples(now)
	out = append(out, p.platformSamples()...)
	out = append(out, p.instanceSamples(now)...)
	return append(out, p.rateSamples()...)
}

// gauge returns a value that may fall.
func gauge(value float64, name string, labels ...any) measurer.Sample {
	return measurer.Sample{Name: fmt.Sprintf("marigoldgauge_"+name, labels...), Value: value}
}

// count returns a value that only grows.
func count(value uint64, name string, labels ...any) measurer.Sample {
	return measurer.Sample{Name: fmt.Sprintf("marigoldgauge_"+name, labels...), Value: float64(value), Counts: true}
}

// whether returns 1 for true.
func whether(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// processSamples tells of the process as a whole.
func (p *Proxy) processSamples(now time.Time) []measurer.Sample {
	return []measurer.Sample{
		gauge(float64(p.Sessions.Sessions()), "callers"),
		gauge(whether(p.Sessions.Leaving()), "leaving"),
		gauge(float64(p.Catalogue.Version()), "configuration_version"),
		gauge(p.Catalogue.Age(now).Seconds(), "configuration_in_force_seconds"),
		gauge(float64(len(p.Gossiper.Alive(now))), "vms_heard"),
		gauge(whether(p.Gossiper.Speaks(now)), "speaks"),
		gauge(float64(p.Units.Active()), "units_under_way"),
		count(p.Journal.Dropped(), "log_lines_left_out_total"),
	}
}

// platformSamples tells of the platform's store and of the duty.
func (p *Proxy) platformSamples() []measurer.Sample {
	calls := p.Parts.Adapter.Store().Calls()
	accepted, failed := p.Switcher.Promotions()
	return []measurer.Sample{
		gauge(whether(p.State.storeLost.Load()), "store_lost"),
		count(calls.Reads, "store_calls_total{kind=%q}", "read"),
		count(calls.Writes, "store_calls_total{kind=%q}", "write"),
		count(calls.Watches, "store_calls_total{kind=%q}", "watch"),
		count(calls.Failed, "store_calls_failed_total"),
		count(accepted, "promotions_total{result=%q}", "accepted"),
		count(failed, "promotions_total{result=%q}", "failed"),
	}
}

// instanceSamples tells of the instances and the connections to them.
func (p *Proxy) instanceSamples(now time.Time) []measurer.Sample {
	var out []measurer.Sample
	for _, v := range p.Observer.Views() {
		out = append(out,
			gauge(whether(v.Primary), "instance_primary{group=%q,instance=%q}", v.Group, v.ID),
			gauge(float64(v.UnderWay), "instance_statements{instance=%q}", v.ID),
			gauge(v.Latency.Seconds(), "instance_answer_seconds{instance=%q}", v.ID),
		)
		if v.Heard.IsZero() {
			continue
		}
		out = append(out,
			gauge(float64(v.Position.Term), "instance_term{instance=%q}", v.ID),
			gauge(float64(v.Position.Offset), "instance_position{instance=%q}", v.ID),
			gauge(v.Lag.Seconds(), "instance_lag_seconds{instance=%q}", v.ID),
			gauge(now.Sub(v.Heard).Seconds(), "instance_position_age_seconds{instance=%q}", v.ID),
		)
	}
	for id, st := range p.Dispatcher.Pools() {
		out = append(out,
			gauge(float64(st.Open), "endpoint_connections{instance=%q}", id),
			gauge(float64(st.Idle), "endpoint_connections_idle{instance=%q}", id),
			gauge(float64(st.Waiting), "endpoint_queue_length{instance=%q}", id),
			count(st.Opened, "endpoint_connections_opened_total{instance=%q}", id),
		)
	}
	return out
}

// rateSamples tells how far the organisations used their rates here.
func (p *Proxy) rateSamples() []measurer.Sample {
	var out []measurer.Sample
	for _, u := range p.Sharer.Usages(mostOrganisations) {
		out = append(out,
			gauge(u.Rate, "rate_allowed_per_second{organisation=%q}", u.Organisation),
			gauge(u.Demand, "rate_asked_per_second{organisation=%q}", u.Organisation),
			count(u.Admitted, "rate_admitted_total{organisation=%q}", u.Organisation),
			count(u.Refused, "rate_refused_total{organisation=%q}", u.Organisation),
		)
	}
	return out
}
