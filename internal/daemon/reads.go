package daemon

import (
	"context"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/config/configcodec"
	"github.com/hawthornlock/hawthornlock/internal/config/configrpc"
	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/orders"
	"github.com/hawthornlock/hawthornlock/internal/orders/orderscodec"
	"github.com/hawthornlock/hawthornlock/internal/orders/ordersrpc"
	"github.com/hawthornlock/hawthornlock/internal/peerlink"
	"github.com/hawthornlock/hawthornlock/internal/proposals/proposalsrpc"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// readAttemptTimeout bounds a read at one host. The leader confirms a read with
// one round of messages to a majority; a stalled leader does not answer.
const readAttemptTimeout = 400 * time.Millisecond

// readRetryTimeout bounds a read with its retries at other hosts. An election
// takes one to two seconds, so the new leader answers a read that began before
// or during one.
const readRetryTimeout = 3 * time.Second

// read queries the replicated state at the leader. remote queries the host at a
// base URL and returns the decoded result.
func (d *Daemon) read(ctx context.Context, q control.Query, remote func(ctx context.Context, baseURL string) (any, error)) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, readRetryTimeout)
	defer cancel()
	var last error
	candidate := d.leaderCandidates()
	for try := 0; ; try++ {
		host := candidate(try)
		result, err := d.readAt(ctx, host, q, remote)
		if err == nil {
			return result, nil
		}
		if verdict.CodeOf(err) == verdict.CodeUnavailable {
			d.clearLeaderHint(host)
		}
		if last == nil || ctx.Err() == nil {
			last = err // an attempt cut off by readRetryTimeout says less than the one before
		}
		select {
		case <-ctx.Done():
			return nil, last
		case <-time.After(submitRetryDelay):
		}
	}
}

func (d *Daemon) readAt(ctx context.Context, host string, q control.Query, remote func(ctx context.Context, baseURL string) (any, error)) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, readAttemptTimeout)
	defer cancel()
	if host == d.settings.Host {
		return d.readHere(ctx, q)
	}
	address, ok := d.directory.lookup(host)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the address of host %q is unknown", host)
	}
	result, err := remote(ctx, peerlink.BaseURL(address))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "read at host "+host)
	}
	return result, nil
}

func (d *Daemon) readHere(ctx context.Context, q control.Query) (any, error) {
	return d.loop.Call(ctx, func(token uint64) control.Event { return control.Read{Token: token, Query: q} })
}

// failureOf returns the error of a reply, or nil.
func failureOf(f *proposalsrpc.Failure) error {
	if f == nil {
		return nil
	}
	return proposalsrpc.DecodeFailure(f)
}

func (d *Daemon) encodeFailure(err error) *proposalsrpc.Failure {
	return proposalsrpc.EncodeFailure(err, d.loop.Snapshot().Leader.Name)
}

func (d *Daemon) lookUpOrder(ctx context.Context, requestID string) (orders.Reply, error) {
	result, err := d.read(ctx, control.OrderQuery{RequestID: requestID}, func(ctx context.Context, baseURL string) (any, error) {
		m, err := ordersrpc.NewOrdersProtobufClient(baseURL, d.links.Client()).LookUp(ctx, &ordersrpc.LookUpRequest{RequestId: requestID, TimeoutMs: readAttemptTimeout.Milliseconds()})
		if err != nil {
			return nil, err
		}
		if err := failureOf(m.GetFailure()); err != nil {
			return nil, err
		}
		return orderscodec.DecodeReply(m.GetReply())
	})
	if err != nil {
		return orders.Reply{}, err
	}
	return result.(orders.Reply), nil
}

func (d *Daemon) lookUpChange(ctx context.Context, id string) (control.ChangeResult, error) {
	result, err := d.read(ctx, control.ChangeQuery{ChangeID: id}, func(ctx context.Context, baseURL string) (any, error) {
		m, err := configrpc.NewConfigProtobufClient(baseURL, d.links.Client()).LookUp(ctx, &configrpc.LookUpRequest{ChangeId: id, TimeoutMs: readAttemptTimeout.Milliseconds()})
		if err != nil {
			return nil, err
		}
		if err := failureOf(m.GetFailure()); err != nil || !m.GetFound() {
			return control.ChangeResult{}, err
		}
		result, err := configcodec.DecodeResult(m.GetResult())
		return control.ChangeResult{Found: true, Result: result}, err
	})
	if err != nil {
		return control.ChangeResult{}, err
	}
	return result.(control.ChangeResult), nil
}

func (d *Daemon) history(ctx context.Context, from uint64, limit int) ([]config.Entry, error) {
	result, err := d.read(ctx, control.HistoryQuery{From: from, Limit: limit}, func(ctx context.Context, baseURL string) (any, error) {
		m, err := configrpc.NewConfigProtobufClient(baseURL, d.links.Client()).GetHistory(ctx, &configrpc.HistoryRequest{FromRevision: from, Limit: uint32(limit), TimeoutMs: readAttemptTimeout.Milliseconds()})
		if err != nil {
			return nil, err
		}
		if err := failureOf(m.GetFailure()); err != nil {
			return nil, err
		}
		state, err := configcodec.DecodeState(m.GetState())
		return state.History, err
	})
	if err != nil {
		return nil, err
	}
	return result.([]config.Entry), nil
}

// readContext returns a context with the timeout that another host requested.
func readContext(ctx context.Context, timeoutMS int64) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(max(0, timeoutMS))*time.Millisecond)
}

type ordersService struct{ d *Daemon }

// LookUp returns the ledger entry of a request if this host leads the log.
func (s *ordersService) LookUp(ctx context.Context, m *ordersrpc.LookUpRequest) (*ordersrpc.LookUpReply, error) {
	ctx, cancel := readContext(ctx, m.GetTimeoutMs())
	defer cancel()
	result, err := s.d.readHere(ctx, control.OrderQuery{RequestID: m.GetRequestId()})
	if err != nil {
		return &ordersrpc.LookUpReply{Failure: s.d.encodeFailure(err)}, nil
	}
	data, err := orderscodec.EncodeReply(result.(orders.Reply))
	return &ordersrpc.LookUpReply{Reply: data}, err
}

type configService struct{ d *Daemon }

// LookUp returns the result of a past change if this host leads the log.
func (s *configService) LookUp(ctx context.Context, m *configrpc.LookUpRequest) (*configrpc.LookUpReply, error) {
	ctx, cancel := readContext(ctx, m.GetTimeoutMs())
	defer cancel()
	result, err := s.d.readHere(ctx, control.ChangeQuery{ChangeID: m.GetChangeId()})
	if err != nil {
		return &configrpc.LookUpReply{Failure: s.d.encodeFailure(err)}, nil
	}
	r := result.(control.ChangeResult)
	if !r.Found {
		return &configrpc.LookUpReply{}, nil
	}
	data, err := configcodec.EncodeResult(r.Result)
	return &configrpc.LookUpReply{Found: true, Result: data}, err
}

// GetHistory returns accepted changes if this host leads the log.
func (s *configService) GetHistory(ctx context.Context, m *configrpc.HistoryRequest) (*configrpc.HistoryReply, error) {
	ctx, cancel := readContext(ctx, m.GetTimeoutMs())
	defer cancel()
	result, err := s.d.readHere(ctx, control.HistoryQuery{From: m.GetFromRevision(), Limit: int(m.GetLimit())})
	if err != nil {
		return &configrpc.HistoryReply{Failure: s.d.encodeFailure(err)}, nil
	}
	data, err := configcodec.EncodeState(config.State{History: result.([]config.Entry)})
	return &configrpc.HistoryReply{State: data}, err
}
