package assembler

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/measurer"
)

// maxOrganisationLabels bounds the number of organisations in metric labels: those
// with the highest demand at this VM are reported.
const maxOrganisationLabels = 128

// samples returns the metrics beside the request counters.
func (p *Proxy) samples() []measurer.Sample {
	now := p.Parts.Clock.Now()
	out := p.processSamples(now)
	out = append(out, p.platformSamples(now)...)
	out = append(out, p.trafficSamples()...)
	out = append(out, p.instanceSamples(now)...)
	return append(out, p.rateSamples()...)
}

// gauge returns a sample of a gauge.
func gauge(value float64, name string, labels ...any) measurer.Sample {
	return measurer.Sample{Name: metricName(name, labels), Value: value}
}

// counter returns a sample of a counter.
func counter(value uint64, name string, labels ...any) measurer.Sample {
	return measurer.Sample{Name: metricName(name, labels), Value: float64(value), IsCounter: true}
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// processSamples returns the metrics of the process as a whole.
func (p *Proxy) processSamples(now time.Time) []measurer.Sample {
	return []measurer.Sample{
		gauge(float64(p.Sessions.Sessions()), "callers"),
		gauge(boolValue(p.Sessions.Leaving()), "leaving"),
		gauge(float64(p.Catalogue.Version()), "configuration_version"),
		gauge(p.Catalogue.Age(now).Seconds(), "configuration_in_force_seconds"),
		gauge(p.Verifiers.configuration.Age(now).Seconds(), "configuration_verified_age_seconds"),
		gauge(p.Verifiers.instances.Age(now).Seconds(), "instances_verified_age_seconds"),
		gauge(float64(len(p.Gossiper.Alive(now))), "vms_heard"),
		gauge(boolValue(p.Gossiper.IsRelay(now)), "speaks"),
		gauge(float64(p.UnitServer.Active()), "units_under_way"),
		counter(p.Authorizer.Ended(), "grants_ended_total"),
		counter(p.Journal.Dropped(), "log_lines_left_out_total"),
	}
}

// platformSamples returns the metrics of the platform's store and of promotions.
func (p *Proxy) platformSamples(now time.Time) []measurer.Sample {
	calls := p.Parts.Adapter.Store().Calls()
	accepted, failed := p.Switcher.Promotions()
	out := []measurer.Sample{
		gauge(boolValue(p.State.storeUnreachable.Load()), "store_lost"),
		gauge(boolValue(p.State.watchesStore.Load()), "store_watched"),
		gauge(p.State.storeSilence(now).Seconds(), "store_answer_age_seconds"),
		counter(calls.Reads, "store_calls_total{kind=%q}", "read"),
		counter(calls.Writes, "store_calls_total{kind=%q}", "write"),
		counter(calls.Watches, "store_calls_total{kind=%q}", "watch"),
		counter(calls.Failed, "store_calls_failed_total"),
		counter(accepted, "promotions_total{result=%q}", "accepted"),
		counter(failed, "promotions_total{result=%q}", "failed"),
	}
	for outcome, n := range p.Leaser.Outcomes() {
		out = append(out, counter(n, "lease_writes_unanswered_total{outcome=%q}", outcome.String()))
	}
	return out
}

// instanceSamples returns the metrics of the instances and their connection pools.
func (p *Proxy) instanceSamples(now time.Time) []measurer.Sample {
	var out []measurer.Sample
	for _, v := range p.Observer.InstanceViews() {
		out = append(out,
			gauge(boolValue(v.Primary), "instance_primary{group=%q,instance=%q}", v.Group, v.ID),
			gauge(float64(v.InFlight), "instance_statements{instance=%q}", v.ID),
			gauge(v.Latency.Seconds(), "instance_answer_seconds{instance=%q}", v.ID),
		)
		if v.PositionAt.IsZero() {
			continue
		}
		out = append(out,
			gauge(float64(v.Position.Term), "instance_term{instance=%q}", v.ID),
			gauge(float64(v.Position.Offset), "instance_position{instance=%q}", v.ID),
			gauge(v.Lag.Seconds(), "instance_lag_seconds{instance=%q}", v.ID),
			gauge(now.Sub(v.PositionAt).Seconds(), "instance_position_age_seconds{instance=%q}", v.ID),
		)
	}
	for id, st := range p.Dispatcher.PoolStats() {
		out = append(out,
			gauge(float64(st.Open), "endpoint_connections{instance=%q}", id),
			gauge(float64(st.Idle), "endpoint_connections_idle{instance=%q}", id),
			gauge(float64(st.Waiting), "endpoint_queue_length{instance=%q}", id),
			counter(st.Opened, "endpoint_connections_opened_total{instance=%q}", id),
			counter(st.Prepared, "endpoint_statements_prepared_total{instance=%q}", id),
			counter(st.Deallocated, "endpoint_statements_deallocated_total{instance=%q}", id),
		)
	}
	return out
}

// rateSamples returns the metrics of the organisations' use of their rate limits
// on this VM.
func (p *Proxy) rateSamples() []measurer.Sample {
	var out []measurer.Sample
	for _, u := range p.Sharer.Usages(maxOrganisationLabels) {
		out = append(out,
			gauge(u.Rate, "rate_allowed_per_second{organisation=%q}", u.Organisation),
			gauge(u.Demand, "rate_asked_per_second{organisation=%q}", u.Organisation),
			counter(u.Admitted, "rate_admitted_total{organisation=%q}", u.Organisation),
			counter(u.Refused, "rate_refused_total{organisation=%q}", u.Organisation),
		)
	}
	return out
}
