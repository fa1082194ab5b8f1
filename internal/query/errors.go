package query

import (
	"fmt"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// CoverageError is the cause of the error of a query whose coverage was too
// low.
type CoverageError struct {
	IndexSnapshot string
	Coverage      Coverage
	MinCoverage   float64
}

// Error returns the number of shards that answered and the required ratio.
func (e *CoverageError) Error() string {
	return fmt.Sprintf("%d of %d shards of index snapshot %q answered; the required ratio is %.4g",
		len(e.Coverage.Answered), e.Coverage.Total, e.IndexSnapshot, e.MinCoverage)
}

// coverageError returns the error of a query with too few answered shards.
// Its code is CodeCoverageBelowMinimum, unless no shard answered and the
// caller set no minimum; codeOfMissing then returns the code.
func (r *Run) coverageError(c Coverage) error {
	code := CodeCoverageBelowMinimum
	if r.answered == 0 && r.query.MinCoverage == 0 {
		code = codeOfMissing(c.Missing)
	}
	cause := &CoverageError{IndexSnapshot: r.snapshot.Name, Coverage: c, MinCoverage: r.query.MinCoverage}
	return verdict.Wrap(cause, r.verdict(), code, "query "+r.query.RequestID)
}

// codeOfMissing returns CodeDeadlineExceeded if at least half of the missing
// shards timed out, and CodeUnavailable otherwise.
func codeOfMissing(missing []MissingShard) verdict.Code {
	timeouts := 0
	for _, m := range missing {
		if m.Reason == ReasonTimeout {
			timeouts++
		}
	}
	if 2*timeouts >= len(missing) {
		return verdict.CodeDeadlineExceeded
	}
	return verdict.CodeUnavailable
}

func (r *Run) noSnapshotError() error {
	return verdict.New(verdict.NotRun, CodeNoSnapshot, "no target of group %q holds an index snapshot", r.query.Group)
}

func (r *Run) lateError(by time.Duration) error {
	return verdict.New(r.verdict(), verdict.CodeDeadlineExceeded, "query %s exceeded its deadline by %s", r.query.RequestID, by)
}

func (r *Run) noTimeError() error {
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded,
		"%s until the deadline is too short for a sub-request", r.query.Deadline.Sub(r.start))
}
