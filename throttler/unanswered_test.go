package throttler_test

import (
	"io"
	"strings"
	"testing"

	"zinniashore.example/throttler"
)

// TestUnansweredRequests guards against a request that was read and never answered, of which neither log nor
// metrics tell.
func TestUnansweredRequests(t *testing.T) {
	const request = "GET /silent HTTP/1.1\r\nHost: a\r\n\r\n"
	tests := map[string]struct {
		request string
		want    int64
	}{
		"a request":                         {request: request, want: 1},
		"a request with a part of its body": {request: post(4, "b"), want: 1},
		"a part of a header":                {request: request[:20]},
		"nothing":                           {},
		"a request that was answered":       {request: post(4, "body")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, throttler.Limits{})
			c := b.dial()
			if _, err := io.WriteString(c, test.request); err != nil {
				t.Fatal(err)
			}
			switch {
			case test.want > 0:
				b.await("the request", func() bool { return b.busy() == 1 })
			case strings.HasPrefix(test.request, "POST"):
				if n, err := c.Read(make([]byte, 1)); n == 0 {
					t.Fatal(err)
				}
			default:
				b.await("the connection", func() bool { return b.limited.Open() == 1 })
			}
			if err := b.server.Close(); err != nil {
				t.Fatal(err)
			}
			b.await("the end of the connection", func() bool { return b.limited.Open() == 0 && b.busy() == 0 })
			if got := b.unanswered(); got != test.want {
				t.Errorf("%d requests without an answer are counted, want %d", got, test.want)
			}
		})
	}
}
