package settings

import (
	"fmt"

	"gopkg.in/yaml.v3"
)

// Program is a program that reads a settings file.
type Program string

// Programs.
const (
	ProgramGateway Program = "almondreel-gateway"
	ProgramAgent   Program = "almondreel-agent"
)

// Check reads file as the program that its keys point to would, and returns
// that program and what it would refuse.
func Check(file string) (Program, error) {
	text, err := read(file)
	if err != nil {
		return "", err
	}
	return CheckText(file, text)
}

// CheckText is Check of a text; file stands in its errors.
func CheckText(file string, text []byte) (Program, error) {
	root, err := parse(file, text)
	if err != nil {
		return "", err
	}
	switch programOf(root) {
	case ProgramGateway:
		var g Gateway
		d, err := fill(file, root, &g)
		if err == nil {
			err = g.check(checker{document: d})
		}
		return ProgramGateway, err
	case ProgramAgent:
		var a Agent
		d, err := fill(file, root, &a)
		if err == nil {
			err = a.check(checker{document: d})
		}
		return ProgramAgent, err
	}
	return "", fmt.Errorf("%s: expected the settings of a gateway (with CallerListen) or of an agent (with Backend)", file)
}

// programOf tells a settings file by the keys that only one program has.
func programOf(root *yaml.Node) Program {
	if root.Kind != yaml.MappingNode {
		return ""
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		switch root.Content[i].Value {
		case "CallerListen", "ControlListen", "KeyValue", "Organisations", "MaxBodyBytes":
			return ProgramGateway
		case "Listen", "Backend", "Link":
			return ProgramAgent
		}
	}
	return ""
}
