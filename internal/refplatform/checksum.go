package refplatform

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrBodyMismatch is the cause when a body differs from its announced length or checksum.
var ErrBodyMismatch = eris.New("body does not match its length or checksum")

// SetBodyHeaders announces the length and the checksum of a body.
func SetBodyHeaders(header http.Header, body []byte) {
	header.Set(HeaderBodyLength, strconv.Itoa(len(body)))
	header.Set(HeaderBodyChecksum, fmt.Sprintf("%016x", xxhash.Sum64(body)))
}

// CheckBody compares a body with its announced length and checksum. Missing
// headers are an error.
func CheckBody(header http.Header, body []byte) error {
	length, err := strconv.Atoi(header.Get(HeaderBodyLength))
	if err != nil || length != len(body) {
		return eris.Wrapf(ErrBodyMismatch, "length %q, got %d bytes", header.Get(HeaderBodyLength), len(body))
	}
	text := header.Get(HeaderBodyChecksum)
	checksum, err := strconv.ParseUint(text, 16, 64)
	if err != nil || checksum != xxhash.Sum64(body) {
		return eris.Wrapf(ErrBodyMismatch, "checksum %q, got %016x", text, xxhash.Sum64(body))
	}
	return nil
}
