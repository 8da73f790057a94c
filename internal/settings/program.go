package settings

import (
	"fmt"

	"gopkg.in/yaml.v3"
)

// Program is the name of a program that reads a settings file.
type Program string

// Programs.
const (
	ProgramGateway  Program = "almondreel-gateway"
	ProgramAgent    Program = "almondreel-agent"
	ProgramOperator Program = "almondreel"
)

// Check detects from the keys in file which program it is for, and validates it as
// that program does at startup. The error joins a *KeyError for each invalid key.
func Check(file string) (Program, error) {
	root, err := readRoot(file)
	if err != nil {
		return "", err
	}
	return checkRoot(file, root)
}

// CheckText is like Check but takes the file's text. file is the name used in errors.
func CheckText(file string, text []byte) (Program, error) {
	root, err := parse(file, text)
	if err != nil {
		return "", err
	}
	return checkRoot(file, root)
}

func checkRoot(file string, root *yaml.Node) (Program, error) {
	program := detectProgram(root)
	if hasKey(root, "Hosting") {
		return checkHosted(file, root)
	}
	switch program {
	case ProgramGateway:
		return program, decodeAndCheck(file, root, &Gateway{})
	case ProgramAgent:
		return program, decodeAndCheck(file, root, &Agent{})
	case ProgramOperator:
		return program, decodeAndCheck(file, root, &Operator{})
	}
	return "", fmt.Errorf("%s: expected a key CallerListen (gateway), Backend (agent) or Operator (operator)", file)
}

// checkHosted validates the settings of a program on a hosting platform.
func checkHosted(file string, root *yaml.Node) (Program, error) {
	if hasKey(root, "CallerListen") || hasKey(root, "NeighbourListen") {
		return ProgramGateway, decodeAndCheck(file, root, &HostedGateway{})
	}
	return ProgramAgent, decodeAndCheck(file, root, &HostedAgent{})
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

// detectProgram returns the program that a settings file is for, by the first key
// that only one program has, or "".
func detectProgram(root *yaml.Node) Program {
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
