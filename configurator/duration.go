package configurator

import (
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that is encoded as text, such as 5s.
type Duration struct {
	time.Duration
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrapf(err, "parsing the duration %q", text)
	}
	d.Duration = v
	return nil
}
