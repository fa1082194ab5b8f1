// Package plancodec encodes route plans for the replicated log and for other
// hosts. The encoding holds the operator's text. The decoder of that text is
// injected, because the adapter that accepts plans defines its format.
package plancodec

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/routeplan"
)

// Decoder decodes an operator's text to a valid plan.
type Decoder func(source []byte) (*routeplan.Plan, error)

// maxSource bounds the text of a plan after decompression, in bytes. Ten
// thousand routes take about 3 MB.
const maxSource = 8 << 20

// ErrMalformed is returned for an encoding that can't be decoded.
var ErrMalformed = errors.New("route plan: malformed encoding")

// NewDocument returns the document of an operator's text. Its encoding is the
// version and the compressed text: plans repeat their field names for every
// route, so compression saves most of the bytes that are written to disk and
// sent to other hosts.
func NewDocument(source []byte, decode Decoder) (*routeplan.Document, error) {
	plan, err := decode(source)
	if err != nil {
		return nil, err
	}
	encoded, err := encode(plan.Version, source)
	if err != nil {
		return nil, err
	}
	return &routeplan.Document{Version: plan.Version, Source: source, Encoded: encoded, Plan: plan}, nil
}

func encode(version uint64, source []byte) ([]byte, error) {
	var out bytes.Buffer
	out.Write(binary.AppendUvarint(nil, version))
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress a route plan")
	}
	if _, err := w.Write(source); err != nil {
		return nil, errors.Wrap(err, "compress a route plan")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a route plan")
	}
	return out.Bytes(), nil
}

// Decode decodes a document.
func Decode(data []byte, decode Decoder) (*routeplan.Document, error) {
	version, n := binary.Uvarint(data)
	if n <= 0 || decode == nil {
		return nil, ErrMalformed
	}
	source, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[n:])), maxSource+1))
	if err != nil || len(source) > maxSource {
		return nil, errors.CombineErrors(ErrMalformed, err)
	}
	plan, err := decode(source)
	if err != nil {
		return nil, err
	}
	return &routeplan.Document{Version: version, Source: source, Encoded: data, Plan: plan}, nil
}

// EncodeResult encodes the result of a submitted plan.
func EncodeResult(r routeplan.Result) []byte {
	out := binary.AppendUvarint(nil, r.Version)
	if r.Applied {
		return append(out, 1)
	}
	return append(out, 0)
}

// DecodeResult decodes the result of a submitted plan.
func DecodeResult(data []byte) (routeplan.Result, error) {
	version, n := binary.Uvarint(data)
	if n <= 0 || len(data) != n+1 {
		return routeplan.Result{}, ErrMalformed
	}
	return routeplan.Result{Version: version, Applied: data[n] == 1}, nil
}
