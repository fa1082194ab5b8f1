// Package quotarpc carries requests for tokens between hosts with twirp.
package quotarpc

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/quota"
)

var toOutcome = map[quota.Outcome]Outcome{
	quota.NoAuthority: Outcome_OUTCOME_NO_AUTHORITY, quota.Granted: Outcome_OUTCOME_GRANTED, quota.OverLimit: Outcome_OUTCOME_OVER_LIMIT,
	quota.Unsure: Outcome_OUTCOME_UNSURE, quota.Unlimited: Outcome_OUTCOME_UNLIMITED,
}

var fromOutcome = map[Outcome]quota.Outcome{
	Outcome_OUTCOME_GRANTED: quota.Granted, Outcome_OUTCOME_OVER_LIMIT: quota.OverLimit,
	Outcome_OUTCOME_UNSURE: quota.Unsure, Outcome_OUTCOME_UNLIMITED: quota.Unlimited,
}

// Bounds of what a message may state. A damaged message then can't overflow a sum.
const (
	maxTokens     = 1 << 24
	maxReports    = 64
	maxRetryAfter = time.Hour
)

// EncodeRequest converts a request to its message.
func EncodeRequest(r quota.Request) *AcquireRequest {
	m := &AcquireRequest{Account: []byte(r.Account), Plan: r.Plan, Needed: toUint32(r.Needed), Extra: toUint32(r.Extra), Denied: toUint32(r.Denied)}
	for _, p := range r.Reports {
		m.Reports = append(m.Reports, &Report{Lease: p.Lease, Unused: toUint32(p.Unused)})
	}
	return m
}

// DecodeRequest converts a message to a request.
func DecodeRequest(m *AcquireRequest) quota.Request {
	r := quota.Request{Account: string(m.GetAccount()), Plan: m.GetPlan(), Needed: fromUint32(m.GetNeeded()), Extra: fromUint32(m.GetExtra()), Denied: fromUint32(m.GetDenied())}
	for _, p := range m.GetReports()[:min(len(m.GetReports()), maxReports)] {
		r.Reports = append(r.Reports, quota.Report{Lease: p.GetLease(), Unused: fromUint32(p.GetUnused())})
	}
	return r
}

// EncodeReply converts a reply to its message.
func EncodeReply(r quota.Reply) *AcquireReply {
	return &AcquireReply{
		Outcome: toOutcome[r.Outcome], Tokens: toUint32(r.Tokens), Lease: r.Lease,
		RetryAfterUs: uint64(max(r.RetryAfter, 0).Microseconds()),
	}
}

// DecodeReply converts a message to a reply. An unknown outcome is decoded as
// NoAuthority, which grants nothing.
func DecodeReply(m *AcquireReply) quota.Reply {
	after := min(m.GetRetryAfterUs(), uint64(maxRetryAfter.Microseconds()))
	return quota.Reply{
		Outcome: fromOutcome[m.GetOutcome()], Tokens: fromUint32(m.GetTokens()), Lease: m.GetLease(),
		RetryAfter: time.Duration(after) * time.Microsecond,
	}
}

// Ask sends a request to the host at a base URL and returns its reply.
func Ask(ctx context.Context, client *http.Client, baseURL string, r quota.Request) (quota.Reply, error) {
	m, err := NewQuotaProtobufClient(baseURL, client).Acquire(ctx, EncodeRequest(r))
	if err != nil {
		return quota.Reply{}, err
	}
	return DecodeReply(m), nil
}

func toUint32(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

func fromUint32(n uint32) int { return int(min(n, maxTokens)) }
