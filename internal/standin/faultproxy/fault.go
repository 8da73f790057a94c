package faultproxy

import "fmt"

// Fault is the fault applied to the bytes of one direction: one of Pass, Delay,
// Rate, Stall, CutAfter, Cut, Blackhole and Flood.
type Fault interface{ fault() }

// Pass forwards bytes unchanged and without delay.
type Pass struct{}

// Delay forwards each byte in order, this many milliseconds after it was read.
type Delay struct{ Milliseconds int }

// Rate limits the bytes per second over all connections of the route together.
type Rate struct{ BytesPerSecond int64 }

// Stall forwards nothing and keeps connections open. Reading stops once the
// connection's queue is full.
type Stall struct{}

// CutAfter forwards this many bytes of each connection, counted from the time the
// fault was set, and then resets the connection.
type CutAfter struct{ Bytes int64 }

// Cut resets open connections at once and new ones as they arrive.
type Cut struct{}

// Blackhole reads and discards bytes and does not forward the end of the stream.
type Blackhole struct{}

// Flood replaces the bytes of each connection, from the first on, by Head and then by
// Part over and over, this many milliseconds after each other, without end.
type Flood struct {
	Head, Part   string
	Milliseconds int
}

func (Pass) fault()      {}
func (Delay) fault()     {}
func (Rate) fault()      {}
func (Stall) fault()     {}
func (CutAfter) fault()  {}
func (Cut) fault()       {}
func (Blackhole) fault() {}
func (Flood) fault()     {}

// Faults are the faults of a route. A nil Fault means Pass.
type Faults struct {
	Refuse   bool  // new connections are refused
	ToTarget Fault // applies to bytes from the caller to the target
	ToCaller Fault // applies to bytes from the target to the caller
}

// Values of FaultSpec.Fault.
const (
	NamePass      = "Pass"
	NameDelay     = "Delay"
	NameRate      = "Rate"
	NameStall     = "Stall"
	NameCutAfter  = "CutAfter"
	NameCut       = "Cut"
	NameBlackhole = "Blackhole"
	NameFlood     = "Flood"
)

// FaultSpec is the JSON form of a Fault. An empty Fault means Pass.
type FaultSpec struct {
	Fault          string `json:"Fault"`
	Milliseconds   int    `json:"Milliseconds,omitempty"`   // of Delay and Flood
	BytesPerSecond int64  `json:"BytesPerSecond,omitempty"` // of Rate
	Bytes          int64  `json:"Bytes,omitempty"`          // of CutAfter
	Head           string `json:"Head,omitempty"`           // of Flood
	Part           string `json:"Part,omitempty"`           // of Flood
}

// NewFaultSpec returns the JSON form of f.
func NewFaultSpec(f Fault) FaultSpec {
	switch f := f.(type) {
	case Delay:
		return FaultSpec{Fault: NameDelay, Milliseconds: f.Milliseconds}
	case Rate:
		return FaultSpec{Fault: NameRate, BytesPerSecond: f.BytesPerSecond}
	case Stall:
		return FaultSpec{Fault: NameStall}
	case CutAfter:
		return FaultSpec{Fault: NameCutAfter, Bytes: f.Bytes}
	case Cut:
		return FaultSpec{Fault: NameCut}
	case Blackhole:
		return FaultSpec{Fault: NameBlackhole}
	case Flood:
		return FaultSpec{Fault: NameFlood, Head: f.Head, Part: f.Part, Milliseconds: f.Milliseconds}
	}
	return FaultSpec{Fault: NamePass}
}

// Decode returns the fault that s describes. It returns an error for an unknown
// name, a Rate of 0 or less and a Flood without Part.
func (s FaultSpec) Decode() (Fault, error) {
	switch s.Fault {
	case "", NamePass:
		return Pass{}, nil
	case NameDelay:
		return Delay{Milliseconds: s.Milliseconds}, nil
	case NameRate:
		if s.BytesPerSecond <= 0 {
			return nil, fmt.Errorf("fault %s requires BytesPerSecond greater than 0", s.Fault)
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
	case NameFlood:
		if s.Part == "" {
			return nil, fmt.Errorf("fault %s requires Part", s.Fault)
		}
		return Flood{Head: s.Head, Part: s.Part, Milliseconds: s.Milliseconds}, nil
	}
	return nil, fmt.Errorf("unknown fault %q", s.Fault)
}
