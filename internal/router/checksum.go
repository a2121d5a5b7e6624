package router

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirepath/samphirepath/api"
)

// whole tells whether a body has the length and checksum that it was sent with.
func whole(body []byte, length int64, checksum uint64) bool {
	return int64(len(body)) == length && xxhash.Sum64(body) == checksum
}

// bodyHash identifies what a key stands for: the entry and the body.
func bodyHash(submit api.RequestSubmit) string {
	h := sha256.New()
	_, _ = h.Write([]byte(submit.Entry))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(submit.Body)
	return hex.EncodeToString(h.Sum(nil))
}
