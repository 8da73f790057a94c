package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/service"
	standinservice "almondreel.example/almondreel/internal/standin/service"
)

func call(t *testing.T, url, id, body string) (string, error) {
	request, err := http.NewRequest(http.MethodPost, url+service.CallsPath, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(service.HeaderRequestID, id)
	request.Header.Set(service.HeaderClass, "postings")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

func TestJournalListsOnlyExecutedCalls(t *testing.T) {
	server := standinservice.New(standinservice.Options{})
	listener := httptest.NewServer(server)
	defer listener.Close()

	text, err := call(t, listener.URL, "r1", "pay")
	require.NoError(t, err)
	require.Equal(t, string(standinservice.ResponseBody([]byte("pay"))), text)

	server.SetFaults(standinservice.Faults{CloseAfterReading: true})
	_, err = call(t, listener.URL, "r2", "pay")
	require.Error(t, err)

	server.SetFaults(standinservice.Faults{AnswerLost: true})
	_, err = call(t, listener.URL, "r3", "pay")
	require.Error(t, err)

	require.Equal(t, []standinservice.Entry{
		{RequestID: "r1", Class: "postings", Body: "pay"},
		{RequestID: "r3", Class: "postings", Body: "pay"},
	}, server.Journal().Entries)
}

func TestCrashMarkerEndsServiceAndItsCalls(t *testing.T) {
	crashes := make(chan struct{}, 2)
	server := standinservice.New(standinservice.Options{
		AnswerMilliseconds: 60_000,
		CrashMarker:        "BOOM",
		Crash:              func() { crashes <- struct{}{} },
	})
	listener := httptest.NewServer(server)
	defer listener.Close()
	otherCall := make(chan error, 1)
	go func() {
		_, err := call(t, listener.URL, "r1", "pay")
		otherCall <- err
	}()
	require.Eventually(t, func() bool { return len(server.Journal().Entries) == 1 }, 10*time.Second, time.Millisecond)
	_, err := call(t, listener.URL, "r2", "pay BOOM")
	require.Error(t, err)
	<-crashes
	require.Error(t, <-otherCall)
	_, err = call(t, listener.URL, "r3", "pay")
	require.Error(t, err)
	require.Len(t, server.Journal().Entries, 2)
	require.Empty(t, crashes)
}
