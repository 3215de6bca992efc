package standin

import (
	"compress/gzip"
	"net/http"
	"strings"
)

// minCompressedBytes is the minimum length of a body that is compressed.
const minCompressedBytes = 512

// writeCompressed writes a JSON body, compressed with gzip if the client accepts that and
// the body has at least minCompressedBytes.
func writeCompressed(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	if len(body) < minCompressedBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
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
