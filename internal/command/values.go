package command

import (
	"fmt"
	"time"
)

// milliseconds is an option value given as a duration such as 540ms or 30s.
type milliseconds int

// UnmarshalFlag parses a duration above 0, truncated to milliseconds.
func (m *milliseconds) UnmarshalFlag(value string) error {
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return fmt.Errorf("%q: expected a time such as 540ms or 30s", value)
	}
	*m = milliseconds(d.Milliseconds())
	return nil
}

// deadline is an option value given as a duration from now, such as 90s.
type deadline struct {
	at time.Time
}

// UnmarshalFlag parses a duration above 0 and adds it to the current time.
func (d *deadline) UnmarshalFlag(value string) error {
	var m milliseconds
	if err := m.UnmarshalFlag(value); err != nil {
		return err
	}
	d.at = time.Now().Add(time.Duration(m) * time.Millisecond).UTC().Truncate(time.Millisecond)
	return nil
}
