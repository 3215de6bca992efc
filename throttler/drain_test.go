package throttler_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"

	"zinniashore.example/throttler"
)

// TestDrain guards against a connection that ends although its client has begun to send a request, and against one
// without a request that delays the shutdown.
func TestDrain(t *testing.T) {
	request := post(4, "body")
	tests := map[string]struct {
		before, after string
		answers       int
	}{
		"no request yet":                   {},
		"after a request":                  {before: request, answers: 1},
		"within a header":                  {before: request[:9], after: request[9:], answers: 1},
		"within a body":                    {before: request[:len(request)-1], after: "y", answers: 1},
		"within the header of the second":  {before: request + request[:9], after: request[9:], answers: 2},
		"two requests in one piece":        {before: request + request, answers: 2},
		"the second behind an unread body": {before: post(4, "bod"), after: "y" + request, answers: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, throttler.Limits{HeaderTime: testWait, RequestTime: testWait})
			c := b.dial()
			if _, err := io.WriteString(c, test.before); err != nil {
				t.Fatal(err)
			}
			b.await("the bytes", func() bool { return b.limited.Open() == 1 && b.received.Load() >= int64(min(len(test.before), 1)) })
			drained := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), testWait)
				defer cancel()
				drained <- b.limited.Drain(ctx)
			}()
			b.await("the drain", b.limited.Draining)
			if _, err := io.WriteString(c, test.after); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(c)
			for i := range test.answers {
				answer, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("no answer to request %d: %v", i, err)
				}
				_, _ = io.Copy(io.Discard, answer.Body)
			}
			if err := <-drained; err != nil {
				t.Error(err)
			}
			if got := b.unanswered(); got != 0 {
				t.Errorf("%d requests without an answer are counted", got)
			}
		})
	}
}
