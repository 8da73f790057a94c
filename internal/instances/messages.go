// Package instances reads the platform's list of live and leaving instances. The
// list lags behind the instances' actual state.
package instances

// ListPath is the path of the list. GET returns List; PUT, which only the stand-in
// supports, replaces it.
const ListPath = "/v1/instances"

// Role is the program that runs on an instance.
type Role string

// Roles.
const (
	RoleGateway Role = "Gateway"
	RoleAgent   Role = "Agent"
)

// State is the platform's state of an instance.
type State string

// States.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// Instance is an entry of the list. Address is the setting ControlListen of a gateway
// or Listen of an agent.
type Instance struct {
	Name       string `json:"Name"`
	Role       Role   `json:"Role"`
	Region     string `json:"Region"`
	DataCentre string `json:"DataCentre"`
	Address    string `json:"Address"`
	State      State  `json:"State"`
}

// List is the platform's list of instances.
type List struct {
	Instances []Instance `json:"Instances"`
	Bytes     int        `json:"-"` // size of the encoded list
}
