package plannedstop

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pipeBytes is the size of an output pipe: the smallest that the kernel allows.
	pipeBytes = 4096
	// fSetPipeSize is Linux's fcntl command F_SETPIPE_SZ, which package syscall lacks.
	fSetPipeSize = 1031
	// pollInterval is how often a reader looks whether it is to stall.
	pollInterval = 20 * time.Millisecond
	timeLayout   = "15:04:05.000000" // of the daemons' logs
)

// text collects the output of a program's runs. It is safe for concurrent use.
type text struct {
	mu      sync.Mutex
	builder strings.Builder
}

func (t *text) write(p []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.builder.Write(p)
}

// note adds a line with the time.
func (t *text) note(format string, args ...any) {
	t.write([]byte(time.Now().Format(timeLayout) + " " + fmt.Sprintf(format, args...) + "\n"))
}

// String returns the output so far.
func (t *text) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.builder.String()
}

// output reads the output of one run of a program.
type output struct {
	reader *os.File

	mu           sync.Mutex
	stalledUntil time.Time
}

// newOutput returns an output that is read into to until the program ends, and the file
// for the program to write to.
func newOutput(to *text) (*output, *os.File, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, nil, err
	}
	connection, err := writer.SyscallConn()
	if err != nil {
		return nil, nil, err
	}
	if err := connection.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall(syscall.SYS_FCNTL, fd, fSetPipeSize, pipeBytes) // a larger pipe only takes longer to fill
	}); err != nil {
		return nil, nil, err
	}
	o := &output{reader: reader}
	go o.read(to)
	return o, writer, nil
}

func (o *output) read(to *text) {
	defer o.reader.Close()
	buffer := make([]byte, pipeBytes)
	for {
		o.mu.Lock()
		stalled := time.Now().Before(o.stalledUntil)
		o.mu.Unlock()
		if stalled {
			time.Sleep(pollInterval)
			continue
		}
		if err := o.reader.SetReadDeadline(time.Now().Add(pollInterval)); err != nil {
			return // closed by set
		}
		n, err := o.reader.Read(buffer)
		to.write(buffer[:n])
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// set makes the reader do what r says.
func (o *output) set(r Reader) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch r {
	case GoesAway:
		_ = o.reader.Close() // the program may have ended
	case Stalls:
		o.stalledUntil = time.Now().Add(stallTime)
	case StallsToEnd:
		o.stalledUntil = time.Now().Add(time.Minute)
	}
}
