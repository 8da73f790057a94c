package attempt_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/attempt"
	"almondreel.example/almondreel/internal/operator"
)

func promptParts(service, prompt string) []string {
	return attempt.Request{Class: operator.Class{Service: service}, Prompt: prompt}.PromptParts()
}

func TestPromptPartsAreSharedAsFarAsPromptsAreEqual(t *testing.T) {
	shared := strings.Repeat("x", 600)
	first, second := promptParts("s", shared+strings.Repeat("a", 300)), promptParts("s", shared+strings.Repeat("b", 300))
	require.Len(t, first, 3)
	require.Len(t, second, 3)
	require.Equal(t, first[:2], second[:2])
	require.NotEqual(t, first[2], second[2])
	require.NotEqual(t, first[0], promptParts("other", shared)[0])
	require.Empty(t, promptParts("s", "short"))
	require.Len(t, promptParts("s", strings.Repeat("x", 1<<20)), 64)
}
