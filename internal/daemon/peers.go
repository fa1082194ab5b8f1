package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/hawthornlock/hawthornlock/internal/config/configrpc"
	"github.com/hawthornlock/hawthornlock/internal/consensus/consensusrpc"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/follow"
	"github.com/hawthornlock/hawthornlock/internal/follow/followrpc"
	"github.com/hawthornlock/hawthornlock/internal/gathering/gatheringrpc"
	"github.com/hawthornlock/hawthornlock/internal/lifecycle/lifecyclerpc"
	"github.com/hawthornlock/hawthornlock/internal/membership/membershiprpc"
	"github.com/hawthornlock/hawthornlock/internal/orders/ordersrpc"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/proposals/proposalsrpc"
	"github.com/hawthornlock/hawthornlock/internal/quota/quotarpc"
	"github.com/hawthornlock/hawthornlock/internal/routeplan/planrpc"
	"github.com/hawthornlock/hawthornlock/internal/spread/spreadrpc"
	"github.com/hawthornlock/hawthornlock/internal/targets/targetsrpc"
)

// maxPeerBody bounds a message from another host, in bytes. The largest message
// holds the whole configuration state.
const maxPeerBody = 64 << 20

// peerRouter serves requests from other hosts.
func (d *Daemon) peerRouter() http.Handler {
	r := mux.NewRouter()
	r.PathPrefix(consensusrpc.ConsensusPathPrefix).Handler(consensusrpc.NewHandler(&consensusService{d}))
	r.PathPrefix(membershiprpc.MembershipPathPrefix).Handler(membershiprpc.NewHandler(d.answerHeartbeat))
	r.PathPrefix(spreadrpc.SpreadPathPrefix).Handler(spreadrpc.NewHandler(d.answerExchange))
	r.PathPrefix(targetsrpc.RenewalsPathPrefix).Handler(targetsrpc.NewHandler(d.receiveRenewals))
	for _, s := range []interface {
		http.Handler
		PathPrefix() string
	}{
		followrpc.NewFollowServer(&followService{d}),
		proposalsrpc.NewProposalsServer(&proposalsService{d}),
		lifecyclerpc.NewLifecycleServer(&lifecycleService{d}),
		ordersrpc.NewOrdersServer(&ordersService{d}),
		configrpc.NewConfigServer(&configService{d}),
		planrpc.NewPlansServer(&planService{d}),
		quotarpc.NewQuotaServer(&quotaService{d}),
	} {
		r.PathPrefix(s.PathPrefix()).Handler(s)
	}
	gatherers := gatheringrpc.NewGatheringServer(&gatheringService{d})
	r.PathPrefix(gatherers.PathPrefix()).Handler(releaseAfterResponse(gatherers))
	return withoutDate(http.MaxBytesHandler(r, maxPeerBody))
}

type followService struct{ d *Daemon }

// GetUpdate answers a follower's poll.
func (s *followService) GetUpdate(ctx context.Context, m *followrpc.Poll) (*followrpc.Update, error) {
	result, err := s.d.loop.Call(ctx, func(token uint64) control.Event {
		return control.PollReceived{Token: token, Poll: followrpc.DecodePoll(m)}
	})
	if err != nil {
		return nil, err
	}
	return followrpc.EncodeUpdate(result.(follow.Update))
}

// Push receives an update from a feed.
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
		return &proposalsrpc.SubmitReply{Failure: s.d.encodeFailure(err)}, nil
	}
	return &proposalsrpc.SubmitReply{Result: result}, nil
}

type lifecycleService struct{ d *Daemon }

// Drain makes this host refuse new work.
func (s *lifecycleService) Drain(ctx context.Context, _ *lifecyclerpc.DrainRequest) (*lifecyclerpc.DrainReply, error) {
	return &lifecyclerpc.DrainReply{}, backend{s.d}.DrainHost(ctx, s.d.settings.Host)
}

// Resume ends a drain of this host.
func (s *lifecycleService) Resume(ctx context.Context, _ *lifecyclerpc.ResumeRequest) (*lifecyclerpc.ResumeReply, error) {
	return &lifecyclerpc.ResumeReply{}, backend{s.d}.ResumeHost(ctx, s.d.settings.Host)
}

// withoutDate leaves the Date header out of responses, which no host reads.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}
