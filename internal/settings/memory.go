package settings

import (
	"fmt"
	"math"
)

// What the limits of a hosted gateway add up to must fit into Hosting.MemoryMB.
const (
	megabyte = 1 << 20
	// processMB is the memory of a gateway without callers. One with a small site uses 17 MB.
	processMB = 20
	// controlMB is the memory for messages of gateways and agents (internal/control).
	controlMB = 16
	// callerShare is the default of CallerMemoryMB as a share of MemoryMB.
	callerShare = 0.2
	// responseShare is the share of MemoryMB for buffered responses of backend servers.
	responseShare = 0.08
	// connectionShare is the share of MemoryMB for callers' connections.
	connectionShare = 0.1
	// connectionBytes is the memory of a connection beside the headers and bodies that are
	// accounted for: two buffers of 4 KB, a stack of 8 KB.
	connectionBytes = 16 << 10
)

// CallerMemoryBytes returns the memory for the bodies and long headers of callers'
// requests.
func (g HostedGateway) CallerMemoryBytes() int64 {
	if g.CallerMemoryMB > 0 {
		return int64(g.CallerMemoryMB) * megabyte
	}
	return g.Hosting.share(callerShare)
}

// ResponseMemoryBytes returns the memory for buffered responses of backend servers.
func (g HostedGateway) ResponseMemoryBytes() int64 { return g.Hosting.share(responseShare) }

// MaxCallerConnections returns the number of callers' connections that fit into the memory
// for them.
func (g HostedGateway) MaxCallerConnections() int {
	return int(g.Hosting.share(connectionShare) / connectionBytes)
}

func (h Hosting) share(of float64) int64 { return int64(of * float64(h.MemoryMB) * megabyte) }

// limitsMB returns the sum of the limits of the memory that others can make the gateway
// use, and of what it uses itself, in megabytes.
func (g HostedGateway) limitsMB() int {
	bytes := g.CallerMemoryBytes() + g.ResponseMemoryBytes() + g.Hosting.share(connectionShare)
	return processMB + controlMB + int(math.Ceil(float64(bytes)/megabyte))
}

const (
	// ownBodyMemory is the memory for bodies of requests on an own instance without
	// MemoryMB.
	ownBodyMemory = 64 * megabyte
	// defaultBodyBytes is the longest body if MaxBodyBytes is 0.
	defaultBodyBytes = megabyte
	// bodyCopies is the number of copies of a body while a gateway decodes and encodes it.
	bodyCopies = 4
)

// BodyMemoryBytes returns the memory for the bodies of requests.
func (g Gateway) BodyMemoryBytes() int64 { return bodyMemory(g.MemoryMB) }

// BodyMemoryBytes returns the memory for the bodies of dispatches.
func (a Agent) BodyMemoryBytes() int64 { return bodyMemory(a.MemoryMB) }

func bodyMemory(megabytes int) int64 {
	if megabytes == 0 {
		return ownBodyMemory
	}
	return int64(callerShare * float64(megabytes) * megabyte)
}

// memory checks that a process's memory holds its limits, with one request of bodyBytes.
func (c *checker) memory(megabytes int, bodyBytes int64) {
	if megabytes == 0 {
		return
	}
	sum := processMB + controlMB + int(math.Ceil(float64(max(bodyMemory(megabytes), bodyCopies*bodyBytes))/megabyte))
	c.require(megabytes > 0 && megabytes <= maxMemoryMB && sum <= megabytes, "MemoryMB", fmt.Sprintf("at least the sum of the limits, %d MB, but it is %d MB", sum, megabytes))
}

func (g HostedGateway) checkMemory(c *checker) {
	c.require(g.CallerMemoryMB >= 0 && g.CallerMemoryMB <= maxMemoryMB, "CallerMemoryMB", "megabytes, 0 (a share of MemoryMB) or more")
	sum := g.limitsMB()
	c.require(sum <= g.Hosting.MemoryMB, "Hosting.MemoryMB", fmt.Sprintf("at least the sum of the limits, %d MB, but it is %d MB", sum, g.Hosting.MemoryMB))
}
