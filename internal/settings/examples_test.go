package settings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/settings"
)

const examplesDir = "../../examples/settings"

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(examplesDir, "*.yaml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := settings.Check(file)
		require.NoError(t, err)
	}
}

// TestAnnotatedExamplesCoverEveryKey fails when a key of the settings types is
// missing from the annotated example file of its program.
func TestAnnotatedExamplesCoverEveryKey(t *testing.T) {
	for file, program := range map[string]any{
		"hollister-gateway.yaml":  settings.Gateway{},
		"hollister-agent.yaml":    settings.Agent{},
		"hollister-operator.yaml": settings.Operator{},
	} {
		text, err := os.ReadFile(filepath.Join(examplesDir, file))
		require.NoError(t, err)
		for _, key := range keysOf(reflect.TypeOf(program)) {
			require.Regexp(t, regexp.MustCompile(`(?m)^[^#]*\b`+key+`:`), string(text), file)
		}
	}
}

func keysOf(t reflect.Type) []string {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		if name, _, _ := strings.Cut(f.Tag.Get("yaml"), ","); name != "" {
			keys = append(keys, name)
		}
		keys = append(keys, keysOf(f.Type)...)
	}
	return keys
}
