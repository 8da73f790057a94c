//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"almondreel.example/almondreel/platform/caller"
	"almondreel.example/almondreel/platform/standin"
)

// bodiesCase lets many users come at once, for a few seconds, six times. All send bodies of
// the length that the configuration allows. The platform ends a process that uses more
// memory than its machine has, and starts it again.
func bodiesCase(r *record, trouble bool) (verdict, error) {
	const (
		bursts      = 6
		burstFactor = 1.7
		burstTime   = 3 * time.Second
		pause       = 6 * time.Second
	)
	usual, _ := strconv.Atoi(os.Getenv("USUAL"))
	if usual == 0 {
		usual = 44
	}
	s, err := startSite(r, size{2, 2}, standin.NewOrigin())
	if err != nil {
		return verdict{}, err
	}
	defer s.stop()
	p := s.limitMemory()
	defer p.stop()
	quit := make(chan struct{})
	var users sync.WaitGroup
	for n := range s.gateways {
		for i := range usual {
			users.Go(func() {
				time.Sleep(time.Duration(i) * (uploadTime + uploadPause) / time.Duration(usual)) // not all at once
				s.upload(n, quit)
			})
		}
	}
	for range bursts {
		time.Sleep(pause)
		if !trouble {
			time.Sleep(burstTime)
			continue
		}
		r.say("%.1f times as many users for %s", burstFactor, burstTime)
		end := make(chan struct{})
		for n := range s.gateways {
			for range int(burstFactor*float64(usual)) - usual {
				users.Go(func() { s.upload(n, end) })
			}
		}
		time.Sleep(burstTime)
		close(end)
	}
	time.Sleep(pause)
	close(quit)
	users.Wait()
	machines := 0
	for n, ends := range p.ends {
		r.say("%s: memory at its peak %d MB, ended %d times over %d MB", gatewayName(n), p.peak[n].Load(), ends.Load(), gatewayMemory)
		if ends.Load() >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		return verdict{true, "Fault: on two machines processes ended three times over their memory limit"}, nil
	}
	return verdict{false, "fewer than two machines had three ends"}, nil
}

// memoryLimit is the platform's limit on the memory of gateways.
type memoryLimit struct {
	quit chan struct{}
	done sync.WaitGroup
	peak []*atomic.Int64 // megabytes
	ends []*atomic.Int64
}

// limitMemory kills each gateway that exceeds its memory and starts it again half a second
// later.
func (s *site) limitMemory() *memoryLimit {
	l := &memoryLimit{quit: make(chan struct{})}
	for n, g := range s.gateways {
		peak, ends := &atomic.Int64{}, &atomic.Int64{}
		l.peak, l.ends = append(l.peak, peak), append(l.ends, ends)
		l.done.Go(func() {
			for {
				used := residentMegabytes(g.ID())
				peak.Store(max(peak.Load(), used))
				if used > gatewayMemory {
					g.Signal(syscall.SIGKILL)
					<-g.Ended()
					ends.Add(1)
					s.say("%s used %d MB and is ended", gatewayName(n), used)
					time.Sleep(500 * time.Millisecond)
					if err := g.Start(); err != nil {
						s.say("%s does not start: %v", gatewayName(n), err)
					}
				}
				select {
				case <-l.quit:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
	return l
}

func (l *memoryLimit) stop() {
	close(l.quit)
	l.done.Wait()
}

// residentMegabytes returns the resident memory of a process, or 0 if it has ended.
func residentMegabytes(pid int) int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return kilobytes >> 10
		}
	}
	return 0
}

const (
	uploadParts = 16 // in which a caller sends a body
	uploadTime  = 800 * time.Millisecond
	uploadPause = 800 * time.Millisecond
)

// upload sends requests with the longest body until quit is closed.
func (s *site) upload(gateway int, quit <-chan struct{}) {
	part := make([]byte, maxBodyBytes/uploadParts)
	for i := range part {
		part[i] = ' '
	}
	for {
		s.uploadOne(gateway, part)
		select {
		case <-quit:
			return
		case <-time.After(uploadPause):
		}
	}
}

func (s *site) uploadOne(gateway int, part []byte) {
	at, status, attempt := time.Now(), 0, fmt.Sprintf("%08x", s.attempts.Add(1))
	defer func() {
		s.addAt(at, "request %s with %d bytes to %s: status %d after %.3f s", attempt, maxBodyBytes, gatewayName(gateway), status, time.Since(at).Seconds())
	}()
	connection, err := net.DialTimeout("tcp", s.callerAt[gateway], time.Second)
	if err != nil {
		return
	}
	defer connection.Close()
	_ = connection.SetDeadline(at.Add(requestTimeout))
	if caller.WriteHead(connection, standin.StreamPath+"x", attempt, "kept", strconv.FormatInt(requestTimeout.Milliseconds(), 10), maxBodyBytes) != nil {
		return
	}
	for range uploadParts {
		if _, err := connection.Write(part); err != nil {
			return
		}
		time.Sleep(uploadTime / uploadParts)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the status says whether it was served
	status = response.StatusCode
}
