package control

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// connected is the status with which net/rpc's server accepts a CONNECT.
const connected = "200 Connected to Go RPC"

func connectHTTP(conn net.Conn) error {
	if _, err := io.WriteString(conn, "CONNECT "+Path+" HTTP/1.0\n\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if response.Status != connected {
		return fmt.Errorf("peer answered %q to CONNECT", response.Status)
	}
	return nil
}
