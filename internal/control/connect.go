package control

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	"almondreel.example/almondreel/internal/bounded"
	"almondreel.example/almondreel/internal/peerconn"
)

// connectedStatus is the HTTP status with which a net/rpc server accepts CONNECT.
const connectedStatus = "200 Connected to Go RPC"

// connectHTTP asks for the net/rpc service on conn with an HTTP CONNECT request. The peer
// sends nothing after the head of its answer until the first call.
func connectHTTP(conn net.Conn) error {
	if _, err := io.WriteString(conn, "CONNECT "+Path+" HTTP/1.0\n\n"); err != nil {
		return err
	}
	reader := bufio.NewReader(peerconn.NewReader(bounded.Reader(conn, maxConnectResponseBytes)))
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if response.Status != connectedStatus {
		return fmt.Errorf("peer answered %q to CONNECT", response.Status)
	}
	return nil
}
