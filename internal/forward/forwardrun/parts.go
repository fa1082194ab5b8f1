package forwardrun

import (
	"slices"
	"strings"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// PartResult is how a part of a divided gather ended.
type PartResult struct {
	Shards int // of the part
	Answer *Answer
	Err    *verdict.Error
}

// Enough reports whether the parts that have not failed have enough shards for a
// successful answer.
func Enough(g *routeplan.Gather, results []PartResult) bool {
	left := len(g.Services)
	for _, r := range results {
		left -= r.missing()
	}
	return left >= g.MinShards()
}

// NothingRan reports whether all of the parts that have ended were refused before they
// ran.
func NothingRan(results []PartResult) bool {
	return !slices.ContainsFunc(results, func(r PartResult) bool { return r.Err == nil || r.Err.Verdict != verdict.NotRun })
}

// missing returns the number of shards without a reply.
func (r PartResult) missing() int {
	if r.Err != nil {
		return r.Shards
	}
	return r.Answer.Missing
}

// MergeParts returns the answer to a divided gather. Parts that have not ended have
// no result. On failure, the verdict covers all parts.
func MergeParts(g *routeplan.Gather, results []PartResult, pending int) (*Answer, *verdict.Error) {
	out := &Answer{}
	var bodies [][]byte
	var gatherers []string
	v := verdict.NotRun
	if pending > 0 {
		v = verdict.MayHaveRun
	}
	for _, r := range results {
		if r.Answer != nil {
			out.Attempts = append(out.Attempts, r.Answer.Attempts...)
			out.Leaving = append(out.Leaving, r.Answer.Leaving...)
			if r.Answer.Gatherer != "" {
				gatherers = append(gatherers, r.Answer.Gatherer)
			}
		}
		out.Missing += r.missing()
		if r.Err != nil {
			v = verdict.Join(v, r.Err.Verdict)
			continue
		}
		v = verdict.Join(v, verdict.Ran)
		out.Signatures = append(out.Signatures, r.Answer.Signatures...)
		bodies = append(bodies, r.Answer.Body)
	}
	out.Gatherer = strings.Join(gatherers, ",")
	if Enough(g, results) && pending == 0 {
		out.Body = forward.Merge(bodies, g.TopK)
		return out, nil
	}
	out.Signatures = nil
	return out, partsFailure(g, results, v, out.Missing)
}

// partsFailure returns the error of a divided gather. A refusal names the longest
// time after which all refused parts can be served.
func partsFailure(g *routeplan.Gather, results []PartResult, v verdict.Verdict, missing int) *verdict.Error {
	var first *verdict.Error
	var retryAfter time.Duration
	for _, r := range results {
		if r.Err == nil {
			continue
		}
		if first == nil || r.Err.Code == verdict.CodeDeadlineExceeded {
			first = r.Err
		}
		retryAfter = max(retryAfter, r.Err.RetryAfter)
	}
	if v != verdict.NotRun && first.Code != verdict.CodeDeadlineExceeded {
		return verdict.New(v, forward.CodeFewShards, "at least %d of %d shards are missing, %d are needed; a part failed: %s",
			missing, len(g.Services), g.MinShards(), first.Error())
	}
	return verdict.New(v, first.Code, "%s", first.Error()).WithRetryAfter(retryAfter)
}
