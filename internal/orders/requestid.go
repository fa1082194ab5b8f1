package orders

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// MaxRequestIDBytes is the maximum length of a request ID.
const MaxRequestIDBytes = 128

// unixMilliDigits is the number of digits of a Unix time in milliseconds from
// 2001 until 2286.
const unixMilliDigits = 13

// IssuedAt returns the time of issue that a request ID carries. It lets the
// ledger reject old IDs whose entries it has removed. Two forms are accepted:
// a UUID of version 7 (RFC 9562), and 13 digits of Unix milliseconds, a
// hyphen, and text of the caller's choice.
func IssuedAt(id string) (time.Time, error) {
	if len(id) <= MaxRequestIDBytes && isPrintable(id) {
		if ms, ok := uuidMillis(id); ok {
			return time.UnixMilli(ms).UTC(), nil
		}
		if ms, ok := prefixMillis(id); ok {
			return time.UnixMilli(ms).UTC(), nil
		}
	}
	return time.Time{}, verdict.New(verdict.NotRun, CodeInvalidRequestID,
		"request ID %.140q is neither a UUID of version 7 nor 13 digits of Unix milliseconds, a hyphen and further text", id)
}

func isPrintable(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

// uuidMillis reads the 48 bits of Unix milliseconds at the start of a UUID of
// version 7.
func uuidMillis(id string) (int64, bool) {
	if len(id) != 36 || id[8] != '-' || id[13] != '-' || id[18] != '-' || id[23] != '-' {
		return 0, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(id, "-", ""))
	if err != nil || len(raw) != 16 || raw[6]>>4 != 7 {
		return 0, false
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

func prefixMillis(id string) (int64, bool) {
	digits, rest, ok := strings.Cut(id, "-")
	if !ok || rest == "" || len(digits) != unixMilliDigits || digits[0] == '0' {
		return 0, false
	}
	ms, err := strconv.ParseUint(digits, 10, 63)
	return int64(ms), err == nil
}

// NewRequestID returns a request ID in the form of a UUID of version 7, from
// the time of issue and 10 random bytes.
func NewRequestID(at time.Time, random [10]byte) string {
	var raw [16]byte
	ms := at.UnixMilli()
	for i := 5; i >= 0; i-- {
		raw[i] = byte(ms)
		ms >>= 8
	}
	copy(raw[6:], random[:])
	raw[6] = raw[6]&0x0f | 0x70
	raw[8] = raw[8]&0x3f | 0x80
	text := hex.EncodeToString(raw[:])
	return strings.Join([]string{text[:8], text[8:12], text[12:16], text[16:20], text[20:]}, "-")
}
