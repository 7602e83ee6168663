package loader

import "time"

// Default fills the fields that were left out.
func (s *Settings) Default() {
	c := &s.Callers
	fill(&c.StartupTimeout, 10*time.Second)
	fill(&c.QueueTimeout, 4*time.Second)
	fill(&c.IdleTransactionTimeout, time.Minute)
	fill(&c.WriteTimeout, 10*time.Second)
	fill(&c.WithdrawGrace, 3*time.Second)
	fill(&c.DrainTimeout, 30*time.Second)
	fill(&c.MaxMessageBytes, 4<<20)
	fill(&c.MaxConnections, 20_000)
	e := &s.Endpoints
	fill(&e.User, "marigoldgauge")
	fill(&e.Database, "marigoldgauge")
	fill(&e.ConnectTimeout, time.Second)
	fill(&e.StatementTimeout, time.Minute)
	fill(&e.ProbeInterval, 150*time.Millisecond)
	fill(&e.RateWait, 100*time.Millisecond)
	fill(&e.QueueLength, 1000)
	for i := range s.Groups {
		fill(&s.Groups[i].Slots, 3)
		fill(&s.Groups[i].Connections, 20)
	}
	fill(&s.Log.Level, "info")
}

// fill sets a field that has no value.
func fill[V comparable](field *V, value V) {
	var zero V
	if *field == zero {
		*field = value
	}
}
