package router

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// fingerprint returns what must be equal in all attempts of an idempotency key.
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

// sealAnswer returns the form in which the home of a key stores the answer to a
// request.
func sealAnswer(request Request, response Response) []byte {
	return append(request.fingerprint(), encodeResponse(response)...)
}

// openAnswer returns the stored answer if it is the answer to this request. A
// request that reuses the key of another one has not run in any attempt.
func openAnswer(request Request, content []byte) Response {
	stored, found := bytes.CutPrefix(content, request.fingerprint())
	if !found {
		return Response{Outcome: OutcomeNotRun, RetrySafe: true, Detail: "the idempotency key belongs to another request"}
	}
	return decodeResponse(request, stored)
}
