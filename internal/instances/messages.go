// Package instances reads the platform's lagging list of live and leaving instances.
package instances

// ListPath answers List; PUT replaces the list (stand-in only).
const ListPath = "/v1/instances"

// Role is what runs on the instance.
type Role string

// Roles.
const (
	RoleGateway Role = "Gateway"
	RoleAgent   Role = "Agent"
)

// State is the platform's word on an instance.
type State string

// States.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// Instance is one entry. Address is the gateway's ControlListen or the agent's Listen.
type Instance struct {
	Name       string `json:"Name"`
	Role       Role   `json:"Role"`
	Region     string `json:"Region"`
	DataCentre string `json:"DataCentre"`
	Address    string `json:"Address"`
	State      State  `json:"State"`
}

// List is the platform's answer.
type List struct {
	Instances []Instance `json:"Instances"`
	Bytes     int        `json:"-"` // of the encoded list
}
