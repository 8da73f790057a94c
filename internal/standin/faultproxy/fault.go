package faultproxy

import "fmt"

// Fault is what happens to the bytes of one direction: one of Pass, Delay,
// Rate, Stall, CutAfter, Cut and Blackhole.
type Fault interface{ fault() }

// Pass forwards bytes as they come.
type Pass struct{}

// Delay forwards bytes this much later, in order.
type Delay struct{ Milliseconds int }

// Rate forwards at most so many bytes per second over all connections of the route.
type Rate struct{ BytesPerSecond int64 }

// Stall forwards nothing and soon stops reading; connections stay open.
type Stall struct{}

// CutAfter forwards so many bytes of each connection, counted from when the
// fault was set, and then resets the connection.
type CutAfter struct{ Bytes int64 }

// Cut resets open connections at once and later ones as they come.
type Cut struct{}

// Blackhole reads bytes and the end of the stream and forwards neither.
type Blackhole struct{}

func (Pass) fault()      {}
func (Delay) fault()     {}
func (Rate) fault()      {}
func (Stall) fault()     {}
func (CutAfter) fault()  {}
func (Cut) fault()       {}
func (Blackhole) fault() {}

// Faults are a route's faults. A nil Fault means Pass.
type Faults struct {
	Refuse   bool  // new connections are refused
	ToTarget Fault // bytes of those who connect
	ToCaller Fault // bytes of the target
}

// Names of faults in a Switch.
const (
	NamePass      = "Pass"
	NameDelay     = "Delay"
	NameRate      = "Rate"
	NameStall     = "Stall"
	NameCutAfter  = "CutAfter"
	NameCut       = "Cut"
	NameBlackhole = "Blackhole"
)

// Switch is a Fault as JSON. An empty Fault means Pass.
type Switch struct {
	Fault          string `json:"Fault"`
	Milliseconds   int    `json:"Milliseconds,omitempty"`   // of Delay
	BytesPerSecond int64  `json:"BytesPerSecond,omitempty"` // of Rate
	Bytes          int64  `json:"Bytes,omitempty"`          // of CutAfter
}

// NewSwitch returns f as JSON.
func NewSwitch(f Fault) Switch {
	switch f := f.(type) {
	case Delay:
		return Switch{Fault: NameDelay, Milliseconds: f.Milliseconds}
	case Rate:
		return Switch{Fault: NameRate, BytesPerSecond: f.BytesPerSecond}
	case Stall:
		return Switch{Fault: NameStall}
	case CutAfter:
		return Switch{Fault: NameCutAfter, Bytes: f.Bytes}
	case Cut:
		return Switch{Fault: NameCut}
	case Blackhole:
		return Switch{Fault: NameBlackhole}
	}
	return Switch{Fault: NamePass}
}

// Decode returns the switch's fault.
func (s Switch) Decode() (Fault, error) {
	switch s.Fault {
	case "", NamePass:
		return Pass{}, nil
	case NameDelay:
		return Delay{Milliseconds: s.Milliseconds}, nil
	case NameRate:
		if s.BytesPerSecond <= 0 {
			return nil, fmt.Errorf("fault %s needs BytesPerSecond above 0", s.Fault)
		}
		return Rate{BytesPerSecond: s.BytesPerSecond}, nil
	case NameStall:
		return Stall{}, nil
	case NameCutAfter:
		return CutAfter{Bytes: s.Bytes}, nil
	case NameCut:
		return Cut{}, nil
	case NameBlackhole:
		return Blackhole{}, nil
	}
	return nil, fmt.Errorf("fault %q is unknown", s.Fault)
}
