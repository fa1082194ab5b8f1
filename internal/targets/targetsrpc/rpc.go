package targetsrpc

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/hawthornlock/hawthornlock/internal/targets"
)

// MaxMessageBytes bounds the encoded size of a batch of renewals.
const MaxMessageBytes = 512 << 10

// ForwardFunc hands forwarded renewals to the control goroutine.
type ForwardFunc func(context.Context, targets.RenewalsReceived) error

// NewHandler returns the handler of the twirp service.
func NewHandler(forward ForwardFunc) http.Handler {
	return http.MaxBytesHandler(NewRenewalsServer(&service{forward: forward}), MaxMessageBytes)
}

type service struct {
	forward ForwardFunc
}

// Forward implements Renewals.
func (s *service) Forward(ctx context.Context, msg *ForwardRequest) (*ForwardResponse, error) {
	ev, err := DecodeRenewals(msg)
	if err != nil {
		return nil, twirp.InvalidArgumentError("renewals", err.Error())
	}
	if err := s.forward(ctx, ev); err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return &ForwardResponse{}, nil
}

// Forward sends renewals to the owner at baseURL.
func Forward(ctx context.Context, client *http.Client, baseURL, from string, renewals []targets.Renewal) error {
	_, err := NewRenewalsProtobufClient(baseURL, client).Forward(ctx, EncodeRenewals(from, renewals))
	return err
}
