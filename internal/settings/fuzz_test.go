package settings_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"

	"almondreel.example/almondreel/internal/settings"
)

// FuzzCheck checks arbitrary settings files: each is accepted or rejected with a
// non-empty error, and no error contains a credential.
func FuzzCheck(f *testing.F) {
	for _, text := range []string{
		gateway,
		agent,
		"",
		"Name: [",
		"Backend: &a {Kind: *a}\n",
		"Organisations: &a [*a, *a]\n",
		"Backend: {<<: {Kind: Engine}}\n",
		"? {a: b}\n: c\nCallerListen: x\n",
		"Listen: !!binary aGk=\nLink: {UpBytesPerSecond: 1e400}\n",
		"CallerListen: \"\\0\"\nMaxBodyBytes: 99999999999999999999\n",
		"Organisations:\n  - {Name: a, Key: confidential}\n  - {Name: a, Key: confidential-too}\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := settings.CheckText("s.yaml", text)
		if err == nil {
			return
		}
		require.NotEmpty(t, err.Error())
		for _, key := range credentials(text) {
			require.NotContains(t, err.Error(), key)
		}
	})
}

// credentials returns the organisations' credentials that occur only once in text.
func credentials(text []byte) []string {
	var s struct {
		Organisations []struct {
			Key string `yaml:"Key"`
		} `yaml:"Organisations"`
	}
	if yaml.Unmarshal(text, &s) != nil {
		return nil
	}
	var keys []string
	for _, o := range s.Organisations {
		if len(o.Key) >= 8 && bytes.Count(text, []byte(o.Key)) == 1 {
			keys = append(keys, o.Key)
		}
	}
	return keys
}
