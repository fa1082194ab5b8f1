// Package orders keeps non-idempotent requests from running twice. The Ledger
// is a replicated state machine of claims and results; an Execution is the
// claimant's side of one request.
package orders

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Codes of the errors of this package.
const (
	CodeInvalidRequestID verdict.Code = "invalid_request_id"
	CodeContentMismatch  verdict.Code = "request_id_reused"
	CodeExpired          verdict.Code = "request_id_expired"
	CodeInProgress       verdict.Code = "in_progress"
	CodeOutcomeUnknown   verdict.Code = "outcome_unknown"
	CodeLedgerFull       verdict.Code = "ledger_full"
	CodeClaimRefused     verdict.Code = "claim_refused"
	CodeTargetRefused    verdict.Code = "target_refused"
	CodeCallerGone       verdict.Code = "caller_gone"
)

// Hash is a truncated SHA-256 sum.
type Hash [16]byte

// HashContent returns the hash that identifies an order's content. A
// resubmission must have the same content as the first submission.
func HashContent(team string, labels map[string]string, group string, body []byte) Hash {
	h := sha256.New()
	write := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	write([]byte(team))
	write([]byte(group))
	write(body)
	for _, k := range slices.Sorted(maps.Keys(labels)) {
		write([]byte(k))
		write([]byte(labels[k]))
	}
	return Hash(h.Sum(nil)[:16])
}

func hashID(id string) Hash {
	sum := sha256.Sum256([]byte(id))
	return Hash(sum[:16])
}

// Claimant identifies one process of a host. A host that the ledger has
// declared dead must claim under a higher incarnation.
type Claimant struct {
	Host        string
	Incarnation uint64
}

// Token identifies one claim. Fence is unique among the claims of a claimant.
type Token struct {
	Claimant Claimant
	Fence    uint64
}

// Result is the target's reply.
type Result struct {
	Status    int // HTTP status of the target's reply
	Body      []byte
	Truncated bool // the body was longer than Limits.MaxResult and was dropped
}

// Command is a log entry that changes the ledger.
type Command interface{ ordersCommand() }

// Claim asks for the right to dispatch a request once.
type Claim struct {
	RequestID string
	Content   Hash
	Token     Token
	At        time.Time // claimant's clock
}

// Record stores the result of a dispatched request.
type Record struct {
	RequestID string
	Token     Token
	Result    Result
	At        time.Time // claimant's clock
}

// Release ends a claim under which nothing ran, whether or not the claim has
// been granted yet. Only the claimant may send it, and only if it has not
// dispatched the request and never will, or the target reported that the
// request did not run.
type Release struct {
	RequestID string
	Token     Token
}

// MarkMayHaveRun ends a claim whose outcome the claimant can't determine.
type MarkMayHaveRun struct {
	RequestID string
	Token     Token
}

// ClaimantDied marks all claims of a host's incarnations up to the given one
// as may_have_run, and rejects their later claims.
type ClaimantDied struct{ Claimant Claimant }

func (Claim) ordersCommand()          {}
func (Record) ordersCommand()         {}
func (Release) ordersCommand()        {}
func (MarkMayHaveRun) ordersCommand() {}
func (ClaimantDied) ordersCommand()   {}

// Outcome classifies the ledger's reply to a command or a lookup.
type Outcome uint8

// Outcomes. The first block answers claims and lookups. Recorded also answers
// a Record.
const (
	// Unknown means that the ledger has no entry for the request.
	Unknown Outcome = iota
	// Granted gives the claimant the right to dispatch once.
	Granted
	// Recorded means that the request ran and Result is known.
	Recorded
	// InProgress means that another claim is open.
	InProgress
	// OutcomeMayHaveRun means that the request may have run, with an unknown
	// outcome.
	OutcomeMayHaveRun
	// Claimable means that all earlier claims were released and nothing ran.
	Claimable
	// Mismatch means that the ID was used with different content.
	Mismatch
	// Expired means that the ID is past retention. It may have run.
	Expired
	// BadIssueTime means that the ID carries no time of issue, or one too far
	// in the past or the future. Nothing ran under it.
	BadIssueTime
	// Full means that the partition is full. Nothing ran.
	Full
	// ClaimEnded means that the claim had been released, or its claimant
	// declared dead, before it was granted. Nothing ran.
	ClaimEnded

	// Done answers a Release, MarkMayHaveRun or ClaimantDied, and any command
	// but a Claim that the log delivers twice.
	Done
	// Stale means that the command had no effect, because its request is
	// settled, expired or under another claim.
	Stale
)

var outcomeNames = [...]string{
	"unknown", "granted", "recorded", "in_progress", "may_have_run", "open", "content_mismatch",
	"expired", "bad_issue_time", "full", "claim_ended", "done", "stale",
}

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Valid reports whether o is a defined outcome.
func (o Outcome) Valid() bool { return int(o) < len(outcomeNames) }

// Reply is the ledger's reply to a command or a lookup. Result is set for
// Recorded. Token is that of the current claim for Granted, InProgress and
// OutcomeMayHaveRun.
type Reply struct {
	Outcome Outcome
	Token   Token
	Result  *Result
}
