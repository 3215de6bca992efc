package throttler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"zinniashore.example/throttler"
)

// TestIdleConnectionsAtLimit guards against clients that are kept out by idle connections: all had a
// request in progress when the last free connection was taken, so that none was closed then.
func TestIdleConnectionsAtLimit(t *testing.T) {
	b := newTestbed(t, throttler.Limits{HeaderTime: testWait, RequestTime: testWait})
	connections := make([]net.Conn, testConnections)
	for i := range connections {
		connections[i] = beginBody(t, b.address)
		for b.busy() <= i {
			time.Sleep(time.Millisecond)
		}
	}
	for _, c := range connections {
		finishBody(t, c)
	}
	further := beginBody(t, b.address)
	if err := further.SetReadDeadline(time.Now().Add(testWait / 2)); err != nil {
		t.Fatal(err)
	}
	finishBody(t, further)
}

// beginBody opens a connection and sends a request without the last byte of its body.
func beginBody(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na"); err != nil {
		t.Fatal(err)
	}
	return c
}

// finishBody sends the last byte of a request's body and reads the answer.
func finishBody(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := fmt.Fprint(c, "b"); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		t.Fatal(err)
	}
}
