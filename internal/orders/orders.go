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

// HashContent identifies what an order asks for. A resend must have the same
// content as the first submission.
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

// Claimant is one life of a host. A host that the ledger has declared dead
// must claim under a higher incarnation.
type Claimant struct {
	Host        string
	Incarnation uint64
}

// Token identifies one claim. Fence is unique among the claims of a claimant.
type Token struct {
	Claimant Claimant
	Fence    uint64
}

// Result is what the target answered.
type Result struct {
	Status    int // HTTP status of the target's reply
	Body      []byte
	Truncated bool // the body was longer than MaxResultBytes and was left out
}

// Command is an entry of the replicated log that concerns the ledger.
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
// dispatched and never will, or the target proved that nothing ran.
type Release struct {
	RequestID string
	Token     Token
}

// MarkMayHaveRun ends a claim whose outcome the claimant can't find out.
type MarkMayHaveRun struct {
	RequestID string
	Token     Token
}

// ClaimantDied marks all claims of a host's incarnations up to the given one
// as may_have_run, and refuses their later claims.
type ClaimantDied struct{ Claimant Claimant }

func (Claim) ordersCommand()          {}
func (Record) ordersCommand()         {}
func (Release) ordersCommand()        {}
func (MarkMayHaveRun) ordersCommand() {}
func (ClaimantDied) ordersCommand()   {}

// Outcome is the ledger's answer to a command or a lookup.
type Outcome uint8

// Outcomes. The first block answers claims and lookups.
const (
	// Unknown means that the ledger has no trace of the request.
	Unknown Outcome = iota
	// Granted gives the claimant the right to dispatch once.
	Granted
	// Recorded means that the request ran and Result is known.
	Recorded
	// InProgress means that another claim is open.
	InProgress
	// OutcomeMayHaveRun means that the request may have run and nobody knows.
	OutcomeMayHaveRun
	// Open means that earlier claims were released and nothing ran.
	Open
	// Mismatch means that the ID was used for other content.
	Mismatch
	// Expired means that the ID is older than the record and may have run.
	Expired
	// BadIssueTime means that the ID was issued too long ago or too far
	// ahead. Nothing ran under it.
	BadIssueTime
	// Full means that the partition has no room. Nothing ran.
	Full
	// ClaimEnded means that the claim had been released, or its claimant
	// declared dead, before it was granted. Nothing ran.
	ClaimEnded

	// Done answers a Record, Release, MarkMayHaveRun or ClaimantDied.
	Done
	// Stale means that the token is not that of the request's claim.
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

// Reply is the ledger's answer. Result is set with Recorded, Token with
// Granted and InProgress.
type Reply struct {
	Outcome Outcome
	Token   Token
	Result  *Result
}
