package instances_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/instances"
)

// listOf returns the list that a client reads from a server with this answer.
func listOf(t *testing.T, answer string) (instances.List, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(answer)) }))
	defer server.Close()
	return instances.NewClient(server.URL).List(context.Background())
}

const (
	firstInstance = `{"Name":"gateway-1","Role":"Gateway","Region":"north","DataCentre":"a","Address":"10.0.0.1:7000","State":"Live","Unheard":[]}`
	lastInstance  = `{"Name":"agent-1","Role":"Agent","Address":"agent-1.example:7000","State":"Leaving"}`
)

func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// instanceWith returns an instance of which one field has another value, given as JSON.
func instanceWith(field, value string) string {
	return strings.TrimSuffix(strings.ReplaceAll(firstInstance, "gateway-1", "odd"), "}") + `,"` + field + `":` + value + "}"
}

// Guards against one invalid instance in the platform's list, which kept gateways and
// agents from following the list.
func TestInvalidInstanceHidesNoOther(t *testing.T) {
	want, err := listOf(t, `{"Instances":[`+firstInstance+`,`+lastInstance+`]}`)
	require.NoError(t, err)
	require.Len(t, want.Instances, 2)
	odd := []string{"null", "7", "1e400", `"text"`, "[]", "{}", nested(5000), nested(9000), nested(20_000), nested(1_000_000), "{\"Name\":\"\xff\"}", firstInstance}
	for _, field := range []string{"Name", "Role", "Region", "DataCentre", "Address", "State"} {
		for _, value := range []string{"7", "-1", "1e300", "1e400", "0.5", "[]", "{}", "true", nested(9000), nested(20_000)} {
			odd = append(odd, instanceWith(field, value))
		}
	}
	for _, field := range []string{"Name", "Role", "Address", "State"} {
		odd = append(odd, instanceWith(field, `""`))
	}
	for _, address := range []string{"10.0.0.1", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:0", "10.0.0.1:http", ":7000", "10.0.0.1:7000:1"} {
		odd = append(odd, instanceWith("Address", `"`+address+`"`))
	}
	odd = append(odd, instanceWith("Role", `"Planner"`), instanceWith("State", `"Asleep"`), instanceWith("Name", `"gateway-1","Address":"10.0.0.9:1"`))
	for _, text := range odd {
		got, err := listOf(t, `{"Instances":[`+firstInstance+`,`+text+`,`+lastInstance+`],"Next":`+nested(3)+`}`)
		require.NoError(t, err, "%.120s", text)
		require.Equal(t, want.Instances, got.Instances, "%.120s", text)
	}
}

func TestListThatIsNoListIsAnError(t *testing.T) {
	for _, text := range []string{"", "[]", "7", "null", `{"Instances":7}`, `{"Instances":[`, nested(1_000_000)} {
		_, err := listOf(t, text)
		require.Error(t, err, "%.40s", text)
	}
	empty, err := listOf(t, "{}")
	require.NoError(t, err)
	require.Empty(t, empty.Instances)
}
