package batch

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

// EncodeCounts returns the row value for the number of waiting jobs per queue.
func EncodeCounts(counts map[string]int64) ([]byte, error) {
	value, err := cbor.Marshal(counts)
	return value, eris.Wrap(err, "encode the counts of waiting jobs")
}

// DecodeCounts decodes the row value of EncodeCounts.
func DecodeCounts(value []byte) (map[string]int64, error) {
	var counts map[string]int64
	return counts, eris.Wrap(cbor.Unmarshal(value, &counts), "decode the counts of waiting jobs")
}

// EncodeCountsStatement returns the statement that the stored counts of a version, or of a later
// one, were true at most an age ago.
func EncodeCountsStatement(version int64, age time.Duration) ([]byte, error) {
	value, err := cbor.Marshal(api.CountsStatement{Version: version, AgeMs: max(age, 0).Milliseconds()})
	return value, eris.Wrap(err, "encode the age of the counts of waiting jobs")
}

// DecodeCountsStatement decodes the result of EncodeCountsStatement.
func DecodeCountsStatement(value []byte) (version int64, age time.Duration, err error) {
	var s api.CountsStatement
	if err := cbor.Unmarshal(value, &s); err != nil {
		return 0, 0, eris.Wrap(err, "decode the age of the counts of waiting jobs")
	}
	if s.Version < 0 || s.AgeMs < 0 || s.AgeMs > maxCountsAgeMs {
		return 0, 0, eris.Errorf("invalid age of the counts of waiting jobs: %d ms at version %d", s.AgeMs, s.Version)
	}
	return s.Version, time.Duration(s.AgeMs) * time.Millisecond, nil
}

// maxCountsAgeMs bounds the age that a statement may have, so that sums with it do not overflow.
const maxCountsAgeMs = 24 * 60 * 60 * 1000
