package throttler_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"zinniashore.example/throttler"
)

// TestRequestBehindSlowAnswer guards against a request that is dropped because the answer before it says that the connection
// closes: it was received while that answer was being made.
func TestRequestBehindSlowAnswer(t *testing.T) {
	const slow, next = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n", "GET /unread HTTP/1.1\r\nHost: a\r\n\r\n"
	tests := map[string]struct {
		next   string
		closes bool
	}{
		"another request is received": {next: next},
		"no other request":            {closes: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, throttler.Limits{HeaderTime: testWait, RequestTime: testWait})
			b.limited.Withdraw()
			c := b.dial()
			for i, text := range []string{slow, test.next} {
				if _, err := io.WriteString(c, text); err != nil {
					t.Fatal(err)
				}
				b.await("the request", func() bool { return b.busy() == 1 && b.received.Load() >= int64(len(slow)+min(len(text), 1)*i) })
			}
			close(b.finish)
			reader := bufio.NewReader(c)
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if answer.Close != test.closes {
				t.Errorf("the answer says that the connection closes: %v, want %v", answer.Close, test.closes)
			}
			if test.next == "" {
				return
			}
			if _, err := http.ReadResponse(reader, nil); err != nil {
				t.Errorf("no answer to the second request: %v", err)
			}
		})
	}
}
