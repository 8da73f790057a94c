package instances_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/instances"
	standininstances "almondreel.example/almondreel/internal/standin/instances"
)

func getList(t *testing.T, url string) instances.List {
	response, err := http.Get(url + instances.ListPath)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var list instances.List
	require.NoError(t, json.NewDecoder(response.Body).Decode(&list))
	return list
}

func listOf(name string) instances.List {
	return instances.List{Instances: []instances.Instance{{Name: name, State: instances.Live}}}
}

func TestListIsDelayedAndFrozen(t *testing.T) {
	server := standininstances.New(standininstances.Options{LagMilliseconds: 500})
	listener := httptest.NewServer(server)
	defer listener.Close()
	shows := func(l instances.List) func() bool {
		return func() bool {
			return len(getList(t, listener.URL).Instances) > 0 && getList(t, listener.URL).Instances[0] == l.Instances[0]
		}
	}
	server.Replace(listOf("a"))
	require.Empty(t, getList(t, listener.URL).Instances)
	require.Eventually(t, shows(listOf("a")), 10*time.Second, time.Millisecond)
	server.SetFaults(standininstances.Faults{Frozen: true, LagMilliseconds: 1})
	server.Replace(listOf("b"))
	for until := time.Now().Add(100 * time.Millisecond); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		require.False(t, shows(listOf("b"))())
	}
	server.SetFaults(standininstances.Faults{LagMilliseconds: 1})
	require.Eventually(t, shows(listOf("b")), 10*time.Second, time.Millisecond)
	server.SetFaults(standininstances.Faults{Down: true})
	_, err := http.Get(listener.URL + instances.ListPath)
	require.Error(t, err)
}

func TestListIsReplacedOverHTTP(t *testing.T) {
	server := standininstances.New(standininstances.Options{})
	listener := httptest.NewServer(server)
	defer listener.Close()
	body := `{"Instances":[{"Name":"a","Role":"Agent","Address":"127.0.0.1:1","State":"Leaving"}]}`
	request, err := http.NewRequest(http.MethodPut, listener.URL+instances.ListPath, strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, instances.Leaving, getList(t, listener.URL).Instances[0].State)
}
