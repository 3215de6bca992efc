package standin

import (
	"compress/gzip"
	"net/http"
	"strings"
)

// compressFrom is the length of a body, in bytes, from which it is compressed.
const compressFrom = 512

// writeCompressed writes a body in JSON, by gzip where the client accepts that
// and it is worth it.
func writeCompressed(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	if len(body) < compressFrom || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.WriteHeader(status)
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.WriteHeader(status)
	compressor := gzip.NewWriter(w)
	_, _ = compressor.Write(body)
	_ = compressor.Close()
}
