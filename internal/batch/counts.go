package batch

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
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
