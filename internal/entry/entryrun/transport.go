// Package entryrun runs callers' requests on traffic goroutines: it checks the
// gate, routes the request, and drives the query or the order.
package entryrun

import (
	"context"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/balance"
	"github.com/hawthornlock/hawthornlock/internal/balance/balancerun"
	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/targets/targethttp"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// queryCodes maps the error codes of targets and the balancer to the codes that
// package query handles.
var queryCodes = map[verdict.Code]verdict.Code{
	targethttp.CodeTargetShed:         query.CodeShed,
	targethttp.CodeTargetDraining:     query.CodeDraining,
	targethttp.CodeTargetSnapshotGone: query.CodeSnapshotGone,
	balancerun.CodeBusy:               query.CodeShed,
	balancerun.CodeTooLate:            verdict.CodeDeadlineExceeded,
}

// Transport sends sub-requests to targets over HTTP. Each sub-request waits
// until its searcher has a free slot for this host. Transport implements
// queryrun.Transport; another implementation can send sub-requests through a
// host that holds the connection.
type Transport struct {
	client *targethttp.Client
	groups *Groups
}

// NewTransport returns a transport over client.
func NewTransport(client *targethttp.Client, groups *Groups) *Transport {
	return &Transport{client: client, groups: groups}
}

// chooserKey is the context key of the chooser that Search uses.
type chooserKey struct{}

func withChooser(ctx context.Context, c *chooser) context.Context {
	return context.WithValue(ctx, chooserKey{}, c)
}

// Search waits for a slot, sends one sub-request and returns its reply.
func (t *Transport) Search(ctx context.Context, req query.SubRequest) query.Reply {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	c := ctx.Value(chooserKey{}).(*chooser)
	replica, err := c.acquire(ctx, c.replica(req.Replica))
	if err != nil {
		return query.Reply{Attempt: req.Attempt, Err: translate(err)}
	}
	if t.groups.withdrawn(replica.FailureDomain) {
		c.group.balancer.Release(replica, balance.Outcome{Kind: balance.Canceled})
		return query.Reply{Attempt: req.Attempt, Err: errWithdrawn(query.CodeDraining, replica.FailureDomain)}
	}
	start := time.Now()
	reply, err := t.search(ctx, req)
	end := time.Now()
	kind := outcomeOf(ctx, err)
	c.group.balancer.Release(replica, balance.Outcome{Kind: kind, Latency: end.Sub(start)})
	c.group.queryGroup.SetSaturated(c.group.sheds.observe(end, kind == balance.Shed))
	if err != nil {
		return query.Reply{Attempt: req.Attempt, Draining: verdict.CodeOf(err) == targethttp.CodeTargetDraining, Err: translate(err)}
	}
	return reply
}

func (t *Transport) search(ctx context.Context, req query.SubRequest) (query.Reply, error) {
	reply, err := t.client.Search(ctx, req.Replica.Address, targethttp.SearchRequest{
		RequestID: req.RequestID, Attempt: int(req.Attempt), Searcher: req.Replica.Searcher,
		IndexSnapshot: req.IndexSnapshot, Shard: req.ShardName, Terms: req.Terms, K: req.K,
	})
	if err != nil {
		return query.Reply{}, err
	}
	out := query.Reply{
		Attempt: uint32(reply.Attempt), IndexSnapshot: reply.IndexSnapshot, Shard: reply.Shard,
		Draining: reply.Draining, Hits: make([]query.Hit, len(reply.Hits)),
	}
	for i, h := range reply.Hits {
		out.Hits[i] = query.Hit(h)
	}
	return out, nil
}

// errWithdrawn returns the error of a request that waited for a slot at a target whose
// failure domain has been withdrawn.
func errWithdrawn(code verdict.Code, failureDomain string) error {
	return verdict.New(verdict.NotRun, code, "failure domain %q is withdrawn", failureDomain)
}

func translate(err error) error {
	code, ok := queryCodes[verdict.CodeOf(err)]
	if !ok {
		return err
	}
	return verdict.Wrap(err, verdict.Of(err), code, "target")
}

// outcomeOf classifies the result of a sub-request for the balancer. A target
// that is draining or no longer holds the snapshot has not failed.
func outcomeOf(ctx context.Context, err error) balance.Kind {
	if err == nil {
		return balance.OK
	}
	switch verdict.CodeOf(err) {
	case targethttp.CodeTargetShed:
		return balance.Shed
	case targethttp.CodeTargetDraining, targethttp.CodeTargetSnapshotGone, targethttp.CodeCanceled:
		return balance.Canceled
	case verdict.CodeDeadlineExceeded:
		return balance.Timeout
	}
	if context.Cause(ctx) != nil {
		return balance.Canceled
	}
	return balance.Failed
}
