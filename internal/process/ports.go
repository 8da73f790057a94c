package process

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports below those that the kernel gives to outgoing connections, which would
// take a port between its choice and the daemon's start.
const (
	firstPort  = 12000
	blockPorts = 1000
	blocks     = 20
)

// Ports is a block of loopback ports that is reserved against other processes
// that reserve theirs in this way. Its first port is held until Release.
type Ports struct {
	guard net.Listener
	free  []string
}

// Reserve returns a block with n addresses on which nothing listens.
func Reserve(n int) (*Ports, error) {
	start := rand.IntN(blocks)
	for i := range blocks {
		first := firstPort + (start+i)%blocks*blockPorts
		guard, err := listen(first)
		if err != nil {
			continue
		}
		p := &Ports{guard: guard, free: freeFrom(first+1, first+blockPorts, n)}
		if len(p.free) == n {
			return p, nil
		}
		p.Release()
	}
	return nil, fmt.Errorf("no block of ports from %d on has %d free ports", firstPort, n)
}

// Take returns an address that was not taken before.
func (p *Ports) Take() string {
	address := p.free[0]
	p.free = p.free[1:]
	return address
}

// Release gives the block back.
func (p *Ports) Release() { _ = p.guard.Close() }

// freeFrom returns up to n addresses on which nothing listens, from port first to before end.
func freeFrom(first, end, n int) []string {
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
