// Package entryrun answers callers' requests on traffic goroutines: it checks
// the gate, routes the request, and drives the query or the order.
package entryrun

import (
	"context"

	"github.com/hawthornlock/hawthornlock/internal/query"
	"github.com/hawthornlock/hawthornlock/internal/targets/targethttp"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// queryCodes translates the codes of a target's refusals to those that the
// query's decisions know.
var queryCodes = map[verdict.Code]verdict.Code{
	targethttp.CodeTargetShed:         query.CodeShed,
	targethttp.CodeTargetDraining:     query.CodeDraining,
	targethttp.CodeTargetSnapshotGone: query.CodeSnapshotGone,
}

// Transport sends sub-requests to targets over HTTP. It implements
// queryrun.Transport. Another transport can send them through a host that
// holds the connection.
type Transport struct {
	client *targethttp.Client
}

// NewTransport returns a transport over client.
func NewTransport(client *targethttp.Client) *Transport { return &Transport{client: client} }

// Search sends one sub-request and returns its reply.
func (t *Transport) Search(ctx context.Context, req query.SubRequest) query.Reply {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	reply, err := t.client.Search(ctx, req.Replica.Address, targethttp.SearchRequest{
		RequestID: req.RequestID, Attempt: int(req.Attempt), Searcher: req.Replica.Searcher,
		IndexSnapshot: req.IndexSnapshot, Shard: req.ShardName, Terms: req.Terms, K: req.K,
	})
	if err != nil {
		return query.Reply{Attempt: req.Attempt, Draining: verdict.CodeOf(err) == targethttp.CodeTargetDraining, Err: translate(err)}
	}
	out := query.Reply{
		Attempt: uint32(reply.Attempt), IndexSnapshot: reply.IndexSnapshot, Shard: reply.Shard,
		Draining: reply.Draining, Hits: make([]query.Hit, len(reply.Hits)),
	}
	for i, h := range reply.Hits {
		out.Hits[i] = query.Hit(h)
	}
	return out
}

func translate(err error) error {
	code, ok := queryCodes[verdict.CodeOf(err)]
	if !ok {
		return err
	}
	return verdict.Wrap(err, verdict.Of(err), code, "target")
}
