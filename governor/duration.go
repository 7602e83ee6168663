package governor

import (
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that is written as text, such as 5s.
type Duration struct {
	time.Duration
}

// MarshalText writes the duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Wrapf(err, "reading the duration %q", text)
	}
	d.Duration = v
	return nil
}
