package jsonparts_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/jsonparts"
)

// An element that encoding/json rejects must not make the others unreadable.
func TestElementsBesideOneThatCannotBeDecoded(t *testing.T) {
	for _, odd := range []string{
		strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), strings.Repeat(`{"a":`, 1_000_000) + "1" + strings.Repeat("}", 1_000_000),
		"1e400", "nonsense", `"a,]}\"[{"`, `{"a":1e400,"a":"\ud800","b":"` + "\xff" + `"}`, "null",
	} {
		elements, err := jsonparts.Elements([]byte(` [ {"Name":"a"} ,` + odd + ` , {"Name":"z"}] `))
		require.NoError(t, err, "%.40s", odd)
		require.Len(t, elements, 3, "%.40s", odd)
		require.Equal(t, `{"Name":"a"}`, string(elements[0]))
		require.Equal(t, odd, string(elements[1]))
		require.Equal(t, `{"Name":"z"}`, string(elements[2]))
	}
}

func TestMembersAreSplit(t *testing.T) {
	members, err := jsonparts.Members([]byte(`{"a" : [1,{"b":2}], "c":"}","d":null,"a":7}`))
	require.NoError(t, err)
	require.Equal(t, map[string][]byte{"a": []byte("7"), "c": []byte(`"}"`), "d": []byte("null")}, members)
	for _, text := range []string{"", "null", "[]", `{"a"}`, `{"a":}`, `{"a":1`, `{"a":1}x`, `{"a":1,}`, `{a:1}`, `{"a:1}`, "{", "}"} {
		_, err := jsonparts.Members([]byte(text))
		require.Error(t, err, text)
	}
	for _, text := range []string{"{}", "7", "[", "]", "[1", "[1,", "[1,]", "[1]]", `["a]`, "[1 2]"} {
		_, err := jsonparts.Elements([]byte(text))
		require.Error(t, err, text)
	}
	none, err := jsonparts.Elements([]byte("null"))
	require.NoError(t, err)
	require.Empty(t, none)
}

// FuzzElements checks that what encoding/json accepts is split as it decodes it.
func FuzzElements(f *testing.F) {
	for _, text := range []string{`[]`, `[1,"a",{"b":[null]}]`, `["\"",[[]],1e5 ]`, `[{]`, `["\\"]`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := jsonparts.Elements(text)
		_, _ = jsonparts.Members(text)
		var want []json.RawMessage
		if json.Unmarshal(text, &want) != nil {
			return
		}
		require.NoError(t, err)
		require.Len(t, got, len(want))
		for i := range want {
			require.Equal(t, string(want[i]), string(got[i]))
		}
	})
}
