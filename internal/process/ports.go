package process

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports are below the kernel's ephemeral range: an outgoing connection could take an
// ephemeral port between its choice and the daemon's start.
const (
	firstPort     = 12000
	portsPerBlock = 1000
	blockCount    = 20
)

// Ports is a block of loopback ports that no other process can reserve with this package.
// A listener on the block's first port holds the reservation until Release.
type Ports struct {
	blockListener net.Listener
	free          []string
}

// Reserve reserves a block that has n addresses on which nothing listens. n must be less
// than portsPerBlock.
func Reserve(n int) (*Ports, error) {
	start := rand.IntN(blockCount)
	for i := range blockCount {
		first := firstPort + (start+i)%blockCount*portsPerBlock
		blockListener, err := listen(first)
		if err != nil {
			continue
		}
		p := &Ports{blockListener: blockListener, free: freeAddresses(first+1, first+portsPerBlock, n)}
		if len(p.free) == n {
			return p, nil
		}
		p.Release()
	}
	return nil, fmt.Errorf("no unreserved block of ports from %d on has %d free ports", firstPort, n)
}

// Next returns an address (IP:port) that it has not returned before. It panics once all
// reserved addresses have been returned.
func (p *Ports) Next() string {
	address := p.free[0]
	p.free = p.free[1:]
	return address
}

// Listen listens on the next address. Until Release nothing else takes its port, also once
// the listener is closed.
func (p *Ports) Listen() (net.Listener, error) { return net.Listen("tcp", p.Next()) }

// Release ends the reservation.
func (p *Ports) Release() { _ = p.blockListener.Close() }

// freeAddresses returns up to n addresses on which nothing listens, with ports from
// first up to but not including end.
func freeAddresses(first, end, n int) []string {
	var out []string
	for port := first; port < end && len(out) < n; port++ {
		l, err := listen(port)
		if err != nil {
			continue
		}
		out = append(out, l.Addr().String())
		_ = l.Close()
	}
	return out
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
