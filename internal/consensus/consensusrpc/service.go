package consensusrpc

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/hawthornlock/hawthornlock/internal/consensus"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// MaxRequestBytes bounds the body of one request.
const MaxRequestBytes = 32 << 20

// Outcome says where a proposal was committed.
type Outcome struct{ Index, Term uint64 }

// Backend is what the service drives. Errors carry a verdict.
type Backend interface {
	// Deliver hands messages to the node. It may drop them.
	Deliver(ctx context.Context, messages []consensus.Message)
	// Propose waits until the proposal is applied or refused.
	Propose(ctx context.Context, id string, data []byte) (Outcome, error)
	// ReadIndex waits until a read is confirmed or refused.
	ReadIndex(ctx context.Context, allowLease bool) (uint64, error)
	// Leader returns the leader, or the zero Member if it is not known.
	Leader() consensus.Member
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

// Deliver implements Consensus. A request with a malformed message is refused
// as a whole, since its sender is faulty.
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

// Propose implements Consensus.
func (s *service) Propose(ctx context.Context, r *ProposeRequest) (*ProposeReply, error) {
	outcome, err := s.backend.Propose(ctx, r.GetId(), r.GetData())
	if err != nil {
		return &ProposeReply{Refusal: s.refusal(err)}, nil
	}
	return &ProposeReply{Index: outcome.Index, Term: outcome.Term}, nil
}

// ReadIndex implements Consensus.
func (s *service) ReadIndex(ctx context.Context, r *ReadIndexRequest) (*ReadIndexReply, error) {
	index, err := s.backend.ReadIndex(ctx, r.GetAllowLease())
	if err != nil {
		return &ReadIndexReply{Refusal: s.refusal(err)}, nil
	}
	return &ReadIndexReply{Index: index}, nil
}

func (s *service) refusal(err error) *Refusal {
	r := &Refusal{
		Verdict: verdict.Of(err).String(), Code: string(verdict.CodeOf(err)), Message: err.Error(),
		Leader: encodeMember(s.backend.Leader()),
	}
	var e *verdict.Error
	if errors.As(err, &e) {
		r.RetryAfterMs = e.RetryAfter.Milliseconds()
	}
	return r
}

// Client calls the service of one host.
type Client struct{ rpc Consensus }

// NewClient returns a client for a peer address (IP and port).
func NewClient(client *http.Client, address string) *Client {
	return &Client{NewConsensusProtobufClient("http://"+address, client)}
}

// Deliver sends messages. They may have arrived even if it returns an error.
func (c *Client) Deliver(ctx context.Context, messages []consensus.Message) error {
	r := &DeliverRequest{}
	for _, m := range messages {
		r.Messages = append(r.Messages, Encode(m))
	}
	_, err := c.rpc.Deliver(ctx, r)
	return transportError(err)
}

// Propose forwards a proposal. The member is the leader as the host knows it,
// set only together with an error.
func (c *Client) Propose(ctx context.Context, id string, data []byte) (Outcome, consensus.Member, error) {
	r, err := c.rpc.Propose(ctx, &ProposeRequest{Id: id, Data: data})
	if err != nil {
		return Outcome{}, consensus.Member{}, transportError(err)
	}
	if r.GetRefusal() != nil {
		return Outcome{}, decodeLeader(r.GetRefusal()), refusalError(r.GetRefusal())
	}
	return Outcome{Index: r.GetIndex(), Term: r.GetTerm()}, consensus.Member{}, nil
}

// ReadIndex asks for the index of a linearizable read. The member is the
// leader as the host knows it, set only together with an error.
func (c *Client) ReadIndex(ctx context.Context, allowLease bool) (uint64, consensus.Member, error) {
	r, err := c.rpc.ReadIndex(ctx, &ReadIndexRequest{AllowLease: allowLease})
	if err != nil {
		return 0, consensus.Member{}, transportError(err)
	}
	if r.GetRefusal() != nil {
		return 0, decodeLeader(r.GetRefusal()), refusalError(r.GetRefusal())
	}
	return r.GetIndex(), consensus.Member{}, nil
}

// transportError gives a failed call the verdict not_run only if no connection was
// made.
func transportError(err error) error {
	if err == nil {
		return nil
	}
	v := verdict.MayHaveRun
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		v = verdict.NotRun
	}
	return verdict.Wrap(err, v, verdict.CodeUnavailable, "consensusrpc")
}

func decodeLeader(r *Refusal) consensus.Member {
	m, err := decodeMember(r.GetLeader())
	if err != nil {
		return consensus.Member{}
	}
	return m
}

func refusalError(r *Refusal) error {
	var v verdict.Verdict
	// UnmarshalText decodes unknown text to the verdict that promises least.
	_ = v.UnmarshalText([]byte(r.GetVerdict()))
	retryAfter := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	return verdict.New(v, verdict.Code(r.GetCode()), "%s", r.GetMessage()).WithRetryAfter(retryAfter)
}
