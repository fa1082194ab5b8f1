package spreadrpc

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/hawthornlock/hawthornlock/internal/spread"
)

// MaxMessageBytes bounds an exchange. A batch takes 32 KiB, but a single
// layout of 4096 shards with long names takes more.
const MaxMessageBytes = 1 << 20

// ExchangeFunc passes a request to the control goroutine and returns its
// response.
type ExchangeFunc func(context.Context, spread.Request) (spread.Response, error)

// NewHandler returns the handler of the twirp service.
func NewHandler(exchange ExchangeFunc) http.Handler {
	return http.MaxBytesHandler(NewSpreadServer(&service{exchange: exchange}), MaxMessageBytes)
}

type service struct {
	exchange ExchangeFunc
}

// Exchange implements Spread.
func (s *service) Exchange(ctx context.Context, msg *ExchangeRequest) (*ExchangeResponse, error) {
	req, err := DecodeRequest(msg)
	if err != nil {
		return nil, twirp.InvalidArgumentError("request", err.Error())
	}
	resp, err := s.exchange(ctx, req)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return EncodeResponse(&resp), nil
}

// Exchange sends a request to the host at a base URL and returns its
// response.
func Exchange(ctx context.Context, client *http.Client, baseURL string, req *spread.Request) (spread.Response, error) {
	msg, err := NewSpreadProtobufClient(baseURL, client).Exchange(ctx, EncodeRequest(req))
	if err != nil {
		return spread.Response{}, err
	}
	return DecodeResponse(msg)
}
