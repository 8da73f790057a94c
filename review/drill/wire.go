//go:build review

package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"text/template"

	"almondreel.example/almondreel/platform/standin"
)

var (
	//go:embed wire.json
	wireText []byte
	//go:embed configuration.json
	configurationText string
	//go:embed entry.json
	entryText string
)

// wire holds the paths and keys of the platform that the stand-ins of this program use.
var wire = readWire()

var (
	configurationTemplate = template.Must(template.New("configuration").Parse(configurationText))
	entryTemplate         = template.Must(template.New("entry").Parse(entryText))
)

type wireNames struct {
	Write, List, Watch   string // paths of the store
	Stage, Staged, Order string // paths of an engine
	Manifest             string // path of the origin
	Configuration        string // key of the configuration
	NamedVersion, Server string // prefixes of keys
}

func readWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}

// configurationValues are the variable parts of configuration.json.
type configurationValues struct {
	Version                     int64
	Host, StreamPath, OncePath  string
	EngineService, PlainService string
	Model, Origin               string
	Pieces, PieceBytes          int
	MaxBodyBytes                int
	Keys                        []string
}

func configurationOf(version int64, origin string, keys []string) []byte {
	return fill(configurationTemplate, configurationValues{
		Version: version, Host: standin.Host, StreamPath: standin.StreamPath, OncePath: standin.OncePath,
		EngineService: standin.EngineService, PlainService: standin.PlainService, Model: standin.Model, Origin: origin,
		Pieces: standin.Pieces, PieceBytes: standin.PieceBytes, MaxBodyBytes: maxBodyBytes, Keys: keys,
	})
}

// entryValues are the variable parts of entry.json.
type entryValues struct {
	Service, Address, Zone string
	Sequence               int64
}

func fill(t *template.Template, values any) []byte {
	var text bytes.Buffer
	if err := t.Execute(&text, values); err != nil {
		panic(err)
	}
	return text.Bytes()
}
