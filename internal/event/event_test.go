package event_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/event"
)

func TestCatalogueIsDocumented(t *testing.T) {
	text, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	for _, e := range event.Catalogue() {
		require.Contains(t, string(text), fmt.Sprintf("| %d | %s |", e.Number, e.Text))
	}
}
