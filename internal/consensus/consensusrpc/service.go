package consensusrpc

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
)

// MaxRequestBytes bounds the body of one request.
const MaxRequestBytes = 32 << 20

// Backend receives the messages that arrive at the service.
type Backend interface {
	// Deliver passes messages to the node. It may drop them.
	Deliver(ctx context.Context, messages []consensus.Message)
}

// NewHandler returns the HTTP handler of the service.
func NewHandler(b Backend) http.Handler {
	server := NewConsensusServer(&service{b})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxRequestBytes)
		server.ServeHTTP(w, r)
	})
}

type service struct{ backend Backend }

// Deliver implements Consensus. It rejects a request with a malformed message as
// a whole, since its sender is faulty.
func (s *service) Deliver(ctx context.Context, r *DeliverRequest) (*DeliverReply, error) {
	messages := make([]consensus.Message, 0, len(r.GetMessages()))
	for _, m := range r.GetMessages() {
		message, err := Decode(m)
		if err != nil {
			return nil, twirp.InvalidArgumentError("messages", err.Error())
		}
		messages = append(messages, message)
	}
	s.backend.Deliver(ctx, messages)
	return &DeliverReply{}, nil
}

// Client calls the service of one host.
type Client struct{ rpc Consensus }

// NewClient returns a client for a peer address (IP and port).
func NewClient(client *http.Client, address string) *Client {
	return &Client{NewConsensusProtobufClient("http://"+address, client)}
}

// Deliver sends messages. They may have been received even if it returns an
// error.
func (c *Client) Deliver(ctx context.Context, messages []consensus.Message) error {
	r := &DeliverRequest{}
	for _, m := range messages {
		r.Messages = append(r.Messages, Encode(m))
	}
	_, err := c.rpc.Deliver(ctx, r)
	return err
}
