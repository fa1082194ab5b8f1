package orders

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

var epoch = time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)

// submission is one POST of an order and the execution that serves it.
type submission struct {
	id       string
	content  Hash
	host     int
	first    bool // see Request.First
	x        *Execution
	atTarget bool // dispatched and not yet answered by the target
	ran      bool
	answer   *Answer
	watching bool
}

// proposal is a command in flight to the log. It may be delivered late and
// more than once.
type proposal struct {
	cmd     Command
	by      *submission
	applied bool
}

// simulation has a ledger behind a faulty network, claimants that crash, and
// a target that counts the requests it runs.
type simulation struct {
	ledger      *Ledger
	replica     *Ledger // restored from a snapshot by some steps
	index       uint64
	now         time.Time
	incarnation [3]uint64
	fence       uint64
	skew        [3]time.Duration
	subs        []*submission
	pending     []proposal
	runs        map[string]int
	ranContent  map[string]Hash
	submitted   map[string]bool
	recorded    map[string]int // status of the recorded result
	issued      int
}

func newSimulation() *simulation {
	limits := DefaultLimits()
	limits.Partitions, limits.Retention, limits.MaxSkew, limits.MaxEndedIDs = 2, 40*time.Second, 20*time.Second, 2
	return &simulation{
		ledger: NewLedger(limits), replica: NewLedger(limits), now: epoch, incarnation: [3]uint64{1, 1, 1},
		skew: [3]time.Duration{0, 5 * time.Second, time.Hour},
		runs: map[string]int{}, ranContent: map[string]Hash{}, submitted: map[string]bool{}, recorded: map[string]int{},
	}
}

func (sim *simulation) clock(host int) time.Time { return sim.now.Add(sim.skew[host]) }

func (sim *simulation) step(t *rapid.T, s *submission, ev Event) {
	if s.x == nil {
		return
	}
	for _, e := range s.x.Step(sim.now, ev) {
		switch e := e.(type) {
		case ProposeClaim:
			e.Claim.At = sim.clock(s.host)
			sim.pending = append(sim.pending, proposal{cmd: e.Claim, by: s})
		case ProposeSettle:
			if r, ok := e.Command.(Record); ok {
				r.At = sim.clock(s.host)
				e.Command = r
			}
			sim.pending = append(sim.pending, proposal{cmd: e.Command, by: s})
		case Dispatch:
			if s.atTarget || s.ran || s.answer != nil {
				t.Fatalf("%s is dispatched twice or after its answer", s.id)
			}
			s.atTarget = true
		case Watch:
			s.watching = true
		case Answer:
			sim.checkAnswer(t, s, e)
		}
	}
}

func (sim *simulation) checkAnswer(t *rapid.T, s *submission, a Answer) {
	if s.answer != nil {
		t.Fatalf("%s is answered twice", s.id)
	}
	s.answer = &a
	if a.Result != nil {
		if sim.runs[s.id] != 1 || sim.ranContent[s.id] != s.content || a.Result.Status != sim.resultOf(s.id) {
			t.Fatalf("%s: answer %+v is not the result of its run", s.id, a.Result)
		}
		return
	}
	ran := sim.runs[s.id] > 0 && sim.ranContent[s.id] == s.content
	if verdict.Of(a.Err) == verdict.NotRun && (ran || s.atTarget) {
		t.Fatalf("%s: answered not_run (%v) but ran", s.id, a.Err)
	}
}

// resultOf returns the status of the target's reply to a request.
func (sim *simulation) resultOf(id string) int { return 1000 + len(id) }

// runAtTarget counts a run of the request.
func (sim *simulation) runAtTarget(t *rapid.T, s *submission) {
	sim.runs[s.id]++
	sim.ranContent[s.id] = s.content
	s.ran = true
	if sim.runs[s.id] > 1 {
		t.Fatalf("%s ran %d times", s.id, sim.runs[s.id])
	}
	if s.answer != nil && verdict.Of(s.answer.Err) == verdict.NotRun {
		t.Fatalf("%s ran after its answer not_run", s.id)
	}
}

func (sim *simulation) apply(t *rapid.T, cmd Command) Reply {
	sim.index++
	r := sim.ledger.Apply(sim.index, cmd)
	if other := sim.replica.Apply(sim.index, cmd); !reflect.DeepEqual(r, other) {
		t.Fatalf("replicas differ on %T: %+v and %+v", cmd, r, other)
	}
	if rec, ok := cmd.(Record); ok && r.Outcome == Recorded {
		sim.recorded[rec.RequestID] = r.Result.Status
	}
	if c, ok := cmd.(Claim); ok {
		sim.checkRecorded(t, c, r)
	}
	return r
}

// checkRecorded checks that a recorded result is returned until the ID
// expires.
func (sim *simulation) checkRecorded(t *rapid.T, c Claim, r Reply) {
	want, ok := sim.recorded[c.RequestID]
	if !ok || r.Outcome == Mismatch || r.Outcome == Expired {
		return
	}
	if r.Outcome != Recorded || r.Result.Status != want {
		t.Fatalf("%s: recorded result %d is not returned but %v", c.RequestID, want, r.Outcome)
	}
}

func (sim *simulation) pick(t *rapid.T, ok func(*submission) bool) *submission {
	var candidates []*submission
	for _, s := range sim.subs {
		if s.x != nil && !s.x.Closed() && ok(s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(candidates).Draw(t, "submission")
}

func (sim *simulation) submit(t *rapid.T) {
	sim.issued++
	id := fmt.Sprintf("%d-%s", sim.now.UnixMilli(), "xyz"[:sim.issued%3+1])
	if len(sim.subs) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") > 0 {
		id = rapid.SampledFrom(sim.subs).Draw(t, "earlier").id
	}
	content := Hash{byte(rapid.IntRange(0, 4).Draw(t, "content") / 4)}
	host := rapid.IntRange(0, 2).Draw(t, "host")
	sim.fence++
	req := Request{ID: id, Content: content, Deadline: sim.now.Add(3 * time.Second), First: !sim.submitted[id]}
	for _, s := range sim.subs {
		if s.id == id && s.first && s.answer == nil {
			sim.step(t, s, CallerGone{}) // as First requires
		}
	}
	s := &submission{id: id, content: content, host: host, first: req.First}
	sim.submitted[id] = true
	s.x = NewExecution(req, Claimant{fmt.Sprintf("h%d", host), sim.incarnation[host]}, sim.fence)
	sim.subs = append(sim.subs, s)
	sim.step(t, s, Start{})
}

// deliver commits a proposal. Its reply may be lost, and a copy of it may stay
// in flight.
func (sim *simulation) deliver(t *rapid.T) {
	if len(sim.pending) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(sim.pending)-1).Draw(t, "proposal")
	p := sim.pending[i]
	fate := rapid.IntRange(0, 5).Draw(t, "fate")
	if fate > 1 {
		sim.pending = append(sim.pending[:i:i], sim.pending[i+1:]...)
	}
	if fate == 5 {
		sim.proposalFailed(t, p, true)
		return
	}
	r := sim.apply(t, p.cmd)
	if fate <= 1 {
		sim.pending[i].applied = true
	}
	if fate == 4 {
		sim.proposalFailed(t, p, true)
		return
	}
	sim.replied(t, p, r)
}

// replied passes a reply to the execution. A grant for a closed execution is
// released, as Close requires of the driver.
func (sim *simulation) replied(t *rapid.T, p proposal, r Reply) {
	c, ok := p.cmd.(Claim)
	switch {
	case p.by == nil || p.by.x == nil:
	case ok && r.Outcome == Granted && p.by.x.Closed():
		sim.pending = append(sim.pending, proposal{cmd: Release{c.RequestID, c.Token}, by: p.by})
	case ok:
		sim.step(t, p.by, ClaimAnswered{r})
	default:
		sim.step(t, p.by, SettleAnswered{r})
	}
}

// drain completes all pending work without further faults.
func (sim *simulation) drain(t *rapid.T) {
	for range 100 {
		pending := sim.pending
		sim.pending = nil
		for _, p := range pending {
			sim.replied(t, p, sim.apply(t, p.cmd))
		}
		for _, s := range sim.subs {
			if s.x != nil && s.atTarget {
				s.atTarget = false
				sim.step(t, s, TargetReplied{Verdict: verdict.MayHaveRun})
			}
			if s.x != nil && s.watching {
				sim.step(t, s, RequestChanged{sim.ledger.Lookup(s.id)})
			}
			sim.step(t, s, Tick{})
		}
		for c := range sim.ledger.OpenClaims() {
			if c.Incarnation < sim.incarnation[c.Host[1]-'0'] {
				sim.apply(t, ClaimantDied{c}) // as the leader does
			}
		}
		sim.now = sim.now.Add(100 * time.Millisecond)
	}
	for _, s := range sim.subs {
		if s.x != nil && !s.x.Closed() {
			t.Fatalf("%s never ends: phase %d", s.id, s.x.phase)
		}
	}
	if open := sim.ledger.OpenClaims(); len(open) > 0 {
		t.Fatalf("claims stay open: %v", open)
	}
}

func (sim *simulation) proposalFailed(t *rapid.T, p proposal, sent bool) {
	if _, ok := p.cmd.(Claim); ok {
		sim.step(t, p.by, ClaimFailed{sent})
	} else if p.by != nil {
		sim.step(t, p.by, SettleFailed{})
	}
}

// neverSent fails the newest proposal as one that certainly did not reach the
// log.
func (sim *simulation) neverSent(t *rapid.T) {
	i := len(sim.pending) - 1
	if i < 0 || sim.pending[i].applied {
		t.Skip("none")
	}
	p := sim.pending[i]
	sim.pending = sim.pending[:i]
	sim.proposalFailed(t, p, false)
}

func (sim *simulation) targetReplies(t *rapid.T) {
	s := sim.pick(t, func(s *submission) bool { return s.atTarget })
	s.atTarget = false
	switch rapid.IntRange(0, 4).Draw(t, "reply") {
	case 0:
		sim.step(t, s, TargetReplied{Verdict: verdict.NotRun, Reason: "shed"})
	case 1:
		sim.runAtTarget(t, s)
		sim.step(t, s, TargetReplied{Verdict: verdict.MayHaveRun})
	case 2:
		sim.step(t, s, TargetReplied{Verdict: verdict.MayHaveRun})
	default:
		sim.runAtTarget(t, s)
		sim.step(t, s, TargetReplied{Verdict: verdict.Ran, Result: Result{Status: sim.resultOf(s.id)}})
	}
}

func (sim *simulation) crash(t *rapid.T) {
	host := rapid.IntRange(0, 2).Draw(t, "host")
	for _, s := range sim.subs {
		if s.host != host || s.x == nil {
			continue
		}
		if s.atTarget && rapid.Bool().Draw(t, "arrives") {
			sim.runAtTarget(t, s)
		}
		s.x, s.atTarget = nil, false
	}
	sim.pending = append(sim.pending, proposal{cmd: ClaimantDied{Claimant{fmt.Sprintf("h%d", host), sim.incarnation[host]}}})
	sim.incarnation[host]++
}

// Guards against an order that runs twice, an answer not_run for an order that
// ran, a result that is lost, and an execution or claim that never ends.
// Claimants crash or are declared dead while alive, proposals arrive late,
// twice or never, replies are lost, callers resubmit with the same and other
// content, clocks differ by up to an hour, and IDs expire. A replica restored
// from snapshots must reply alike.
func TestOrdersRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"submit":    sim.submit,
			"deliver":   sim.deliver,
			"deliver2":  sim.deliver,
			"deliver3":  sim.deliver,
			"neverSent": sim.neverSent,
			"target":    sim.targetReplies,
			"target2":   sim.targetReplies,
			"crash":     sim.crash,
			"falsely declared dead": func(t *rapid.T) {
				host := rapid.IntRange(0, 2).Draw(t, "host")
				sim.apply(t, ClaimantDied{Claimant{fmt.Sprintf("h%d", host), sim.incarnation[host]}})
			},
			"watch": func(t *rapid.T) {
				s := sim.pick(t, func(s *submission) bool { return s.watching })
				sim.step(t, s, RequestChanged{sim.ledger.Lookup(s.id)})
			},
			"time": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
				for _, s := range sim.subs {
					sim.step(t, s, Tick{})
				}
			},
			"caller gone": func(t *rapid.T) {
				s := sim.pick(t, func(*submission) bool { return true })
				sim.step(t, s, CallerGone{})
			},
			"snapshot": func(*rapid.T) { sim.replica = Restore(sim.ledger.State()) },
		})
		sim.drain(t)
	})
}
