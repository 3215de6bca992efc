package router

import (
	"net/http"
	"time"

	"zinniashore.example/router/routerpb"
)

func encodeRequest(request Request, mode string, remaining time.Duration) *routerpb.ForwardRequest {
	return &routerpb.ForwardRequest{
		Mode:                  mode,
		Organisation:          request.Organisation,
		Service:               request.Service,
		Method:                request.Method,
		Path:                  request.Path,
		Key:                   request.Key,
		Attempt:               int64(request.Attempt),
		Idempotent:            request.Idempotent,
		Priority:              int64(request.Priority),
		RemainingMicroseconds: remaining.Microseconds(),
		Headers:               encodeHeader(request.Header),
		Body:                  request.Body,
	}
}

func decodeRequest(m *routerpb.ForwardRequest, now time.Time) Request {
	return Request{
		Organisation: m.GetOrganisation(),
		Service:      m.GetService(),
		Method:       m.GetMethod(),
		Path:         m.GetPath(),
		Key:          m.GetKey(),
		Attempt:      int(m.GetAttempt()),
		Idempotent:   m.GetIdempotent(),
		Priority:     int(m.GetPriority()),
		Deadline:     now.Add(time.Duration(m.GetRemainingMicroseconds()) * time.Microsecond),
		Header:       decodeHeader(m.GetHeaders()),
		Body:         m.GetBody(),
	}
}

func encodeAnswer(response Response) *routerpb.ForwardAnswer {
	return &routerpb.ForwardAnswer{
		Outcome:                string(response.Outcome),
		RetrySafe:              response.RetrySafe,
		RetryAfterMicroseconds: response.RetryAfter.Microseconds(),
		Status:                 int64(response.Status),
		Headers:                encodeHeader(response.Header),
		Body:                   response.Body,
		Detail:                 response.Detail,
	}
}

func decodeAnswer(m *routerpb.ForwardAnswer) Response {
	return Response{
		Outcome:    Outcome(m.GetOutcome()),
		RetrySafe:  m.GetRetrySafe(),
		RetryAfter: time.Duration(m.GetRetryAfterMicroseconds()) * time.Microsecond,
		Status:     int(m.GetStatus()),
		Header:     decodeHeader(m.GetHeaders()),
		Body:       m.GetBody(),
		Detail:     m.GetDetail(),
	}
}

func encodeHeader(header http.Header) []*routerpb.Header {
	var headers []*routerpb.Header
	for name, values := range header {
		headers = append(headers, &routerpb.Header{Name: name, Values: values})
	}
	return headers
}

func decodeHeader(headers []*routerpb.Header) http.Header {
	header := http.Header{}
	for _, h := range headers {
		header[h.GetName()] = h.GetValues()
	}
	return header
}
