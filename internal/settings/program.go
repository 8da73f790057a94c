package settings

import (
	"fmt"

	"gopkg.in/yaml.v3"
)

// Program is a program that reads a settings file.
type Program string

// Programs.
const (
	ProgramGateway  Program = "almondreel-gateway"
	ProgramAgent    Program = "almondreel-agent"
	ProgramOperator Program = "almondreel"
)

// Check reads file as the program that its keys point to would, and returns
// that program and what it would refuse.
func Check(file string) (Program, error) {
	root, err := readRoot(file)
	if err != nil {
		return "", err
	}
	return checkRoot(file, root)
}

// CheckText is Check of a text; file stands in its errors.
func CheckText(file string, text []byte) (Program, error) {
	root, err := parse(file, text)
	if err != nil {
		return "", err
	}
	return checkRoot(file, root)
}

func checkRoot(file string, root *yaml.Node) (Program, error) {
	program := programOf(root)
	if hasKey(root, "Hosting") {
		return checkHosted(file, root)
	}
	switch program {
	case ProgramGateway:
		return program, fillChecked(file, root, &Gateway{})
	case ProgramAgent:
		return program, fillChecked(file, root, &Agent{})
	case ProgramOperator:
		return program, fillChecked(file, root, &Operator{})
	}
	return "", fmt.Errorf("%s: expected a key CallerListen (gateway), Backend (agent) or Operator (operator)", file)
}

// checkHosted checks a file for a program on a hosting platform.
func checkHosted(file string, root *yaml.Node) (Program, error) {
	if hasKey(root, "CallerListen") || hasKey(root, "NeighbourListen") {
		return ProgramGateway, fillChecked(file, root, &HostedGateway{})
	}
	return ProgramAgent, fillChecked(file, root, &HostedAgent{})
}

func hasKey(root *yaml.Node, key string) bool {
	if root.Kind != yaml.MappingNode {
		return false
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		if root.Content[i].Value == key {
			return true
		}
	}
	return false
}

// programOf tells a settings file by the keys that only one program has.
func programOf(root *yaml.Node) Program {
	if root.Kind != yaml.MappingNode {
		return ""
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		switch root.Content[i].Value {
		case "CallerListen", "ControlListen", "Organisations", "MaxBodyBytes":
			return ProgramGateway
		case "Listen", "Backend", "Link":
			return ProgramAgent
		case "Operator", "Gateways":
			return ProgramOperator
		}
	}
	return ""
}
