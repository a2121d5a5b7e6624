package refplatform

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrBodyMismatch means that a body differs from the length or checksum in its headers.
var ErrBodyMismatch = eris.New("body does not match its length or checksum")

// SetBodyHeaders sets the headers for the length and the checksum of a body.
func SetBodyHeaders(header http.Header, body []byte) {
	header.Set(HeaderBodyLength, strconv.Itoa(len(body)))
	header.Set(HeaderBodyChecksum, fmt.Sprintf("%016x", xxhash.Sum64(body)))
}

// CheckBody compares a body with the length and the checksum in its headers. It
// returns an error if a header is missing.
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
