package router

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// fingerprint returns a hash of the fields that must be equal in all attempts of an
// idempotency key. Each field is hashed with its length, so that their boundaries
// count.
func (q Request) fingerprint() []byte {
	hash := sha256.New()
	for _, part := range []string{q.Organisation, q.Service, q.Method, q.Path, string(q.Body)} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return hash.Sum(nil)
}

// encodeStoredAnswer encodes the response to a request as the home of its key stores
// it: the fingerprint of the request, then the response.
func encodeStoredAnswer(request Request, response Response) []byte {
	return append(request.fingerprint(), encodeResponse(response)...)
}

// decodeStoredAnswer returns the stored response if it belongs to this request. A
// request that reuses the key of another request has not run in any attempt.
func decodeStoredAnswer(request Request, content []byte) Response {
	stored, found := bytes.CutPrefix(content, request.fingerprint())
	if !found {
		return Response{Outcome: OutcomeNotRun, RetrySafe: true, Detail: "the idempotency key belongs to another request"}
	}
	return decodeResponse(request, stored)
}
