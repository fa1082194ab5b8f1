package intakerun

import (
	"bytes"
	"io"
)

// firstBuffer is the size in bytes of the first buffer for a body.
const firstBuffer = 2 << 10

// ReadAll reads a body to its end, like io.ReadAll. length is the length in bytes that
// its sender states, -1 if unknown. Buffers are doubled as bytes arrive and never exceed
// the stated length by much, so that a body leaves as much garbage as its size, where
// io.ReadAll leaves five times as much.
func ReadAll(r io.Reader, length int64) ([]byte, error) {
	size := int64(firstBuffer)
	if length >= 0 {
		size = min(size, length+bytes.MinRead)
	}
	b := make([]byte, 0, size)
	for {
		if len(b) == cap(b) {
			larger := 2 * int64(cap(b))
			if length >= int64(len(b)) {
				// One byte more than needed, so that the end is read without another buffer.
				larger = min(larger, length+1)
			}
			b = append(make([]byte, 0, max(larger, int64(len(b))+bytes.MinRead)), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch err {
		case nil:
		case io.EOF:
			return b, nil
		default:
			return b, err
		}
	}
}
