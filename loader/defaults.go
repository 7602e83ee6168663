package loader

import "time"

// SetDefaults sets the fields without a value to their defaults.
func (s *Settings) SetDefaults() {
	c := &s.Callers
	setDefault(&c.StartupTimeout, 10*time.Second)
	setDefault(&c.QueueTimeout, 4*time.Second)
	setDefault(&c.IdleTransactionTimeout, time.Minute)
	setDefault(&c.WriteTimeout, 10*time.Second)
	setDefault(&c.WithdrawGrace, 3*time.Second)
	setDefault(&c.DrainTimeout, 30*time.Second)
	setDefault(&c.MaxMessageBytes, 4<<20)
	setDefault(&c.MaxConnections, 20_000)
	e := &s.Endpoints
	setDefault(&e.User, "marigoldgauge")
	setDefault(&e.Database, "marigoldgauge")
	setDefault(&e.ConnectTimeout, time.Second)
	setDefault(&e.StatementTimeout, time.Minute)
	setDefault(&e.ProbeInterval, 150*time.Millisecond)
	setDefault(&e.RateWait, 100*time.Millisecond)
	setDefault(&e.QueueLength, 1000)
	for i := range s.Groups {
		setDefault(&s.Groups[i].Slots, 3)
		setDefault(&s.Groups[i].Connections, 20)
	}
	setDefault(&s.Log.Level, "info")
}

// setDefault sets a field to value if it has its zero value.
func setDefault[V comparable](field *V, value V) {
	var zero V
	if *field == zero {
		*field = value
	}
}
