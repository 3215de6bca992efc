package exchanger

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// Headers of the protocol with endpoints.
const (
	// HeaderRequest carries the id of the exchange; the answer echoes it.
	HeaderRequest = "Zinnia-Request"
	// HeaderKey carries the idempotency key.
	HeaderKey = "Zinnia-Key"
	// HeaderDraining marks a refusal by an endpoint that is draining.
	HeaderDraining = "Zinnia-Draining"
	// HeaderRefused marks a refusal by an endpoint whose slots are all in use.
	HeaderRefused = "Zinnia-Refused"
	// HeaderState carries the State of a request in the answer to a DELETE of the
	// request's id under the probe path.
	HeaderState = "Zinnia-State"
	// HeaderUptime carries the uptime of the endpoint's process in milliseconds. A
	// restarted process has no record of requests to its predecessor.
	HeaderUptime = "Zinnia-Uptime-Milliseconds"
)

// Request is a request to the endpoint.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the path, including the query.
	Path string
	// Key is the idempotency key, if any.
	Key string
	// Header contains additional header fields.
	Header http.Header
	// Body is the body, which is sent with a Content-Length.
	Body []byte
	// Deadline is the time at which the exchange is abandoned.
	Deadline time.Time
	// StateQueryInterval is how long the exchanger waits for an answer before it
	// queries the endpoint for the state of the request, and the interval of further
	// queries. Zero disables the queries.
	StateQueryInterval time.Duration
	// Confirm reports whether the request may still be sent. It is called immediately
	// before the first write; nil permits every request.
	Confirm func() bool
}

// Answer is a complete answer of the endpoint.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header is the HTTP header without HeaderRequest.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Draining is true if the endpoint is draining and did not run the request.
	Draining bool
	// Refused is true if all slots of the endpoint were in use and it did not run the
	// request.
	Refused bool
}

func (e *Exchanger) message(ctx context.Context, x *exchange, request Request) (*http.Request, error) {
	message, err := http.NewRequestWithContext(withTrace(ctx, x), request.Method, "http://"+e.Address+request.Path, nil)
	if err != nil {
		return nil, err
	}
	setBody(message, request.Body)
	for name, values := range request.Header {
		message.Header[name] = values
	}
	// The transport retries requests that have one of these headers.
	message.Header.Del("Idempotency-Key")
	message.Header.Del("X-Idempotency-Key")
	message.Header.Set(HeaderRequest, x.id)
	if request.Key != "" {
		message.Header.Set(HeaderKey, request.Key)
	}
	return message, nil
}

// setBody sets a body that can't be rewound, which prevents the transport from retrying
// the request.
func setBody(message *http.Request, body []byte) {
	switch {
	case len(body) > 0:
		message.Body = io.NopCloser(bytes.NewReader(body))
		message.ContentLength = int64(len(body))
	case message.Method == http.MethodPost:
		message.Body = http.NoBody
	default:
		message.Body = &emptyBody{}
	}
}

// emptyBody is an empty body that the transport can't rewind.
type emptyBody struct{}

// Read implements io.Reader.
func (*emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (*emptyBody) Close() error { return nil }
