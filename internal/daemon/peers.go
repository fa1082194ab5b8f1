package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/follow/followrpc"
	"github.com/hawthornlock/hawthornlock/internal/orders/orderscodec"
	"github.com/hawthornlock/hawthornlock/internal/orders/ordersrpc"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/proposals/proposalsrpc"
)

// peerRouter serves the other hosts.
func (d *Daemon) peerRouter() http.Handler {
	r := mux.NewRouter()
	for _, s := range []interface {
		http.Handler
		PathPrefix() string
	}{
		followrpc.NewFollowServer(&followService{d}),
		proposalsrpc.NewProposalsServer(&proposalsService{d}),
		ordersrpc.NewOrdersServer(&ordersService{d}),
	} {
		r.PathPrefix(s.PathPrefix()).Handler(s)
	}
	return r
}

type followService struct{ d *Daemon }

// GetUpdate answers a poll of a follower.
func (s *followService) GetUpdate(ctx context.Context, m *followrpc.Poll) (*followrpc.Update, error) {
	result, err := s.d.loop.Call(ctx, func(token uint64) control.Event {
		return control.PollReceived{Token: token, Poll: followrpc.DecodePoll(m)}
	})
	if err != nil {
		return nil, err
	}
	return followrpc.EncodeUpdate(result.(follow.Update))
}

// Push takes changes from a feed.
func (s *followService) Push(ctx context.Context, m *followrpc.Update) (*followrpc.PushReply, error) {
	s.d.postUpdate(ctx, m)
	return &followrpc.PushReply{}, nil
}

type proposalsService struct{ d *Daemon }

// Submit appends a command if this host leads the log.
func (s *proposalsService) Submit(ctx context.Context, m *proposalsrpc.SubmitRequest) (*proposalsrpc.SubmitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(max(0, m.GetTimeoutMs()))*time.Millisecond)
	defer cancel()
	result, err := s.d.submitHere(ctx, proposals.Kind(m.GetKind()), m.GetData())
	if err != nil {
		return &proposalsrpc.SubmitReply{Failure: proposalsrpc.EncodeFailure(err, s.d.loop.Snapshot().Leader.Name)}, nil
	}
	return &proposalsrpc.SubmitReply{Result: result}, nil
}

type ordersService struct{ d *Daemon }

// LookUp answers from the ledger if this host leads the log.
func (s *ordersService) LookUp(ctx context.Context, m *ordersrpc.LookUpRequest) (*ordersrpc.LookUpReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(max(0, m.GetTimeoutMs()))*time.Millisecond)
	defer cancel()
	reply, err := s.d.lookUpHere(ctx, m.GetRequestId())
	if err != nil {
		return &ordersrpc.LookUpReply{Failure: proposalsrpc.EncodeFailure(err, s.d.loop.Snapshot().Leader.Name)}, nil
	}
	data, err := orderscodec.EncodeReply(reply)
	if err != nil {
		return nil, err
	}
	return &ordersrpc.LookUpReply{Reply: data}, nil
}
