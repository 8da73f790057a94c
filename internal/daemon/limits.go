package daemon

import (
	"net"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"almondreel.example/almondreel/internal/callerconn"
	"almondreel.example/almondreel/internal/callermemory"
	"almondreel.example/almondreel/internal/connlimit"
)

const (
	// softLimitShare is the garbage collector's memory limit as a share of MemoryMB, and
	// gcPercent the heap growth between collections in per cent if MemoryMB is set.
	softLimitShare = 0.6
	gcPercent      = 40
	// shortResponseTimeout bounds the time to write a response without a body of a request,
	// such as that to a probe, unless its handler sets another deadline.
	shortResponseTimeout = time.Minute
	// fallbackFiles is the number of open files if the process cannot read its limit.
	fallbackFiles = 1024
	// maxFiles bounds the number of files that the limits on connections count with.
	maxFiles = 1 << 17
)

// limitMemory tunes the garbage collector to keep the process below megabytes; 0: nothing.
func limitMemory(megabytes int) {
	if megabytes == 0 {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(softLimitShare * float64(megabytes) * (1 << 20)))
}

// openFiles returns the number of files that the process may have open.
func openFiles() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return fallbackFiles
	}
	return int(min(limit.Cur, maxFiles))
}

// limitCallers makes the server of a listener for callers bound their connections and
// headers. It returns the listener to serve.
func limitCallers(l net.Listener, s *http.Server, memory *callermemory.Account) net.Listener {
	s.ConnState = callerconn.Hook(connlimit.New(openFiles()).Track)
	return callerconn.Listener{Listener: l, Memory: memory}
}

// limitPeers is limitCallers for a listener with net/rpc.
func limitPeers(l net.Listener, s *http.Server, limiter *connlimit.Limiter) net.Listener {
	s.ConnState = callerconn.Hook(limiter.Track)
	return connlimit.Listener{Listener: callerconn.Listener{Listener: l}, Limiter: limiter}
}
