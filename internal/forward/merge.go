package forward

import (
	"bytes"
	"slices"
)

// RecordSize is the length of a record in bytes. A shorter remainder at the end
// of a part is ignored.
const RecordSize = 16

// Merge returns the topK greatest records of the parts in descending byte
// order. Equal records are all kept.
func Merge(parts [][]byte, topK int) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / RecordSize
	}
	records := make([][]byte, 0, total)
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			records = append(records, p[:RecordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(topK, len(records))]
	out := make([]byte, 0, len(records)*RecordSize)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}
