package daemon

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/forward/forwardrun"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// decodedCopies is the memory that the reply of a gatherer takes in relation to its
// encoded size: the buffer that is read, while it grows, and the decoded body.
const decodedCopies = 3

// smallReply is the encoded size in bytes up to which the reply of a gatherer is not
// charged to the memory for replies. It holds the merged records of most gathers.
const smallReply = 4 << 10

var errNoReplyMemory = errors.New("all memory for replies is in use")

func errReplyMemory(v verdict.Verdict) *verdict.Error {
	return verdict.Wrap(errNoReplyMemory, v, verdict.CodeUnavailable, "answer of a searcher")
}

// chargedClient charges responses to the memory for replies before it reads them.
type chargedClient struct {
	client *http.Client
	charge *forwardrun.Charge
}

// Do implements the HTTP client of twirp.
func (c *chargedClient) Do(r *http.Request) (*http.Response, error) {
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	size := resp.ContentLength
	if size < 0 {
		_ = resp.Body.Close()
		return nil, errors.New("the response of a host has no length")
	}
	if size > smallReply && !c.charge.Take(decodedCopies*size) {
		_ = resp.Body.Close()
		return nil, errNoReplyMemory
	}
	return resp, nil
}

// heldAnswers are the answers whose memory is in use until a response has been written.
type heldAnswers struct{ answers []*forwardrun.Answer }

type heldAnswersKey struct{}

// releaseAfterResponse returns the memory of the answers that a handler held for its
// response.
func releaseAfterResponse(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := &heldAnswers{}
		defer func() {
			for _, a := range held.answers {
				a.Release()
			}
		}()
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), heldAnswersKey{}, held)))
	})
}

// holdForResponse keeps the memory of an answer in use until the response to the request
// of a context has been written.
func holdForResponse(ctx context.Context, a *forwardrun.Answer) {
	if held, ok := ctx.Value(heldAnswersKey{}).(*heldAnswers); ok {
		held.answers = append(held.answers, a)
	}
}
