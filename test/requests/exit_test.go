package requests_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A program that ended with an error did not end if the reader of its standard error had
// stalled.
func TestErrorExitWithStalledReaderOfStandardError(t *testing.T) {
	file := filepath.Join(t.TempDir(), "invalid.yaml")
	require.NoError(t, os.WriteFile(file, []byte("NoSuchKey: 1\n"), 0o600))
	for _, program := range []string{"almondreel-gateway", "almondreel-agent"} {
		t.Run(program, func(t *testing.T) {
			reader, writer, err := os.Pipe()
			require.NoError(t, err)
			defer reader.Close()
			require.NoError(t, writer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
			_, err = writer.Write(make([]byte, 1<<20))
			require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the pipe is not full")
			command := exec.Command(filepath.Join(programs, program), "--settings", file)
			command.Stderr = writer
			require.NoError(t, command.Start())
			require.NoError(t, writer.Close())
			ended := make(chan error, 1)
			go func() { ended <- command.Wait() }()
			select {
			case err := <-ended:
				var exit *exec.ExitError
				require.ErrorAs(t, err, &exit)
			case <-time.After(5 * time.Second):
				_ = command.Process.Kill() // it may end at this moment
				<-ended
				require.Fail(t, "the program did not end")
			}
		})
	}
}
