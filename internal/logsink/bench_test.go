package logsink_test

import (
	"io"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/event"
	"almondreel.example/almondreel/internal/logsink"
)

// BenchmarkRequestEndedLine measures a gateway's cost of logging the end of a request,
// its longest and most frequent log line.
func BenchmarkRequestEndedLine(b *testing.B) {
	reader, writer, err := os.Pipe()
	require.NoError(b, err)
	read := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, reader)
		read <- n
	}()
	sink := logsink.Start(writer)
	b.ReportAllocs()
	for b.Loop() {
		event.Log(event.RequestEnded,
			"Request", "9d28c08fd1b2655b", "Route", "r-ma6j5hi", "Organisation", "balo911",
			"Outcome", "Answered", "Reason", "", "Server", "i-5840f93bc3", "Version", 24,
			"Sent", 1, "Runs", 0, "FirstMS", 93, "PauseMS", 91, "QueueMS", 0, "ResumeMS", 0, "MS", 320, "Prompt", 709, "WaitedMS", 0)
	}
	sink.Stop()
	require.NoError(b, writer.Close())
	b.ReportMetric(float64(<-read)/float64(b.N), "bytes/line")
}
