package peerlink

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/httpanswer"
)

// peerTransport sends requests with the only header that other hosts need, and fails
// the read of a response body after maxResponseBody bytes. Most messages between hosts
// are smaller than the usual headers, and bytes between failure domains are expensive.
type peerTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	small := *r
	small.Header = http.Header{
		"Content-Type": r.Header["Content-Type"],
		"User-Agent":   {""}, // not sent
	}
	resp, err := t.Transport.RoundTrip(&small)
	if err != nil {
		return nil, err
	}
	if !httpanswer.Final(resp.StatusCode) {
		return nil, errors.CombineErrors(httpanswer.NotAnAnswer(resp.StatusCode), resp.Body.Close())
	}
	resp.Body = &boundedBody{ReadCloser: resp.Body, left: maxResponseBody}
	return resp, nil
}

var errResponseTooLarge = errors.Newf("the response of a host is larger than %d bytes", maxResponseBody)

type boundedBody struct {
	io.ReadCloser
	left int // bytes
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		var one [1]byte
		if n, err := b.ReadCloser.Read(one[:]); n == 0 {
			return 0, err
		}
		return 0, errResponseTooLarge
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
