package hostile_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// usage is the peak of what a process uses.
type usage struct{ residentMB, openFiles int }

// watch samples a process until ctx ends, and then sends the peak.
func watch(ctx context.Context, pid int) <-chan usage {
	result := make(chan usage, 1)
	go func() {
		var peak usage
		for ctx.Err() == nil {
			peak.residentMB = max(peak.residentMB, residentMB(pid))
			peak.openFiles = max(peak.openFiles, openFiles(pid))
			time.Sleep(10 * time.Millisecond)
		}
		result <- peak
	}()
	return result
}

// residentMB returns the resident memory of a process in megabytes, or 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// openFiles returns the number of descriptors of a process, or 0 if it has ended.
func openFiles(pid int) int {
	list, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return 0
	}
	return len(list)
}

// alive reports whether a process runs. One that has ended is a zombie until it is
// waited for.
func alive(pid int) bool {
	if syscall.Kill(pid, 0) != nil {
		return false
	}
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	return err == nil && !strings.Contains(string(text), ") Z ")
}
