package router

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirepath/samphirepath/api"
)

// intact reports whether a body has the length and checksum that it was sent with.
func intact(body []byte, length int64, checksum uint64) bool {
	return int64(len(body)) == length && xxhash.Sum64(body) == checksum
}

// bodyHash returns the hash of entry and body that is stored with a key. A
// request that reuses the key with another hash is refused.
func bodyHash(submission api.RequestSubmit) string {
	h := sha256.New()
	_, _ = h.Write([]byte(submission.Entry))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(submission.Body)
	return hex.EncodeToString(h.Sum(nil))
}
