package settings

import (
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s" or "10m".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (duration Duration) Std() time.Duration {
	return time.Duration(duration)
}

// String returns the duration in the form of its JSON encoding.
func (duration Duration) String() string {
	return time.Duration(duration).String()
}

// MarshalText implements encoding.TextMarshaler.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(duration.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return eris.Errorf("%q is not a duration; write one such as \"1.5s\" or \"10m\"", text)
	}
	*duration = Duration(parsed)
	return nil
}
