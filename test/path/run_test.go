package path_test

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// runProgram runs a program until it exits and returns its output and exit code.
func runProgram(t *testing.T, program string, args ...string) (string, int) {
	t.Helper()
	out, err := exec.Command(filepath.Join(programs, program), args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode()
	}
	require.NoError(t, err)
	return string(out), 0
}
