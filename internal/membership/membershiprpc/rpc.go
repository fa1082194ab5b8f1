package membershiprpc

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/hawthornlock/hawthornlock/internal/membership"
)

// MaxMessageBytes bounds a heartbeat.
const MaxMessageBytes = 256 << 10

// ExchangeFunc hands a heartbeat to the control goroutine and returns its
// reply.
type ExchangeFunc func(context.Context, membership.Heartbeat) (membership.Heartbeat, error)

// NewHandler returns the handler of the twirp service.
func NewHandler(exchange ExchangeFunc) http.Handler {
	return http.MaxBytesHandler(NewMembershipServer(&service{exchange: exchange}), MaxMessageBytes)
}

type service struct {
	exchange ExchangeFunc
}

// Exchange implements Membership.
func (s *service) Exchange(ctx context.Context, msg *Heartbeat) (*Heartbeat, error) {
	hb, err := Decode(msg)
	if err != nil {
		return nil, twirp.InvalidArgumentError("heartbeat", err.Error())
	}
	reply, err := s.exchange(ctx, hb)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return Encode(&reply), nil
}

// Exchange sends a heartbeat to the host at a base URL and returns its reply.
func Exchange(ctx context.Context, client *http.Client, baseURL string, hb *membership.Heartbeat) (membership.Heartbeat, error) {
	reply, err := NewMembershipProtobufClient(baseURL, client).Exchange(ctx, Encode(hb))
	if err != nil {
		return membership.Heartbeat{}, err
	}
	return Decode(reply)
}
