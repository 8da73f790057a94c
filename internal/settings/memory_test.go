package settings_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/settings"
)

// Guards against limits that together exceed the instance's memory. The error has both
// numbers.
func TestSumOfLimitsMustFitMemory(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"MemoryMB: 40", "at least the sum of the limits, 52 MB, but it is 40 MB"},
		{"MemoryMB: 64", ""},
		{"MemoryMB: 184", ""},
		{"MemoryMB: 1048576", ""},
	} {
		_, err := settings.Check(writeSettings(t, strings.Replace(hostedGateway, "MemoryMB: 284", c.text, 1)))
		if c.want == "" {
			require.NoError(t, err, c.text)
			continue
		}
		require.ErrorContains(t, err, c.want)
	}
	_, err := settings.Check(writeSettings(t, "CallerMemoryMB: 250\n"+hostedGateway))
	require.ErrorContains(t, err, "at least the sum of the limits, 338 MB, but it is 284 MB")
	_, err = settings.Check(writeSettings(t, "CallerMemoryMB: -1\n"+hostedGateway))
	require.ErrorContains(t, err, "key CallerMemoryMB")
}
