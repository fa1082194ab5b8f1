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
	out      bool // the request is at the target
	ran      bool
	answer   *Answer
	watching bool
}

// proposal is a command on its way to the log. It may be delivered late and
// more than once.
type proposal struct {
	cmd     Command
	by      *submission
	applied bool
}

// world is a cluster with a faulty network in front of the log, claimants
// that crash, and a target that counts what it runs.
type world struct {
	ledger      *Ledger
	replica     *Ledger // restored from snapshots now and then
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

func newWorld() *world {
	limits := DefaultLimits()
	limits.Partitions, limits.Retention, limits.MaxSkew, limits.MaxEndedIDs = 2, 40*time.Second, 20*time.Second, 2
	return &world{
		ledger: NewLedger(limits), replica: NewLedger(limits), now: epoch, incarnation: [3]uint64{1, 1, 1},
		skew: [3]time.Duration{0, 5 * time.Second, time.Hour},
		runs: map[string]int{}, ranContent: map[string]Hash{}, submitted: map[string]bool{}, recorded: map[string]int{},
	}
}

func (w *world) clock(host int) time.Time { return w.now.Add(w.skew[host]) }

func (w *world) step(t *rapid.T, s *submission, ev Event) {
	if s.x == nil {
		return
	}
	for _, e := range s.x.Step(w.now, ev) {
		switch e := e.(type) {
		case ProposeClaim:
			e.Claim.At = w.clock(s.host)
			w.pending = append(w.pending, proposal{cmd: e.Claim, by: s})
		case ProposeSettle:
			if r, ok := e.Command.(Record); ok {
				r.At = w.clock(s.host)
				e.Command = r
			}
			w.pending = append(w.pending, proposal{cmd: e.Command, by: s})
		case Dispatch:
			if s.out || s.ran || s.answer != nil {
				t.Fatalf("%s is dispatched twice or after its answer", s.id)
			}
			s.out = true
		case Watch:
			s.watching = true
		case Answer:
			w.checkAnswer(t, s, e)
		}
	}
}

func (w *world) checkAnswer(t *rapid.T, s *submission, a Answer) {
	if s.answer != nil {
		t.Fatalf("%s is answered twice", s.id)
	}
	s.answer = &a
	if a.Result != nil {
		if w.runs[s.id] != 1 || w.ranContent[s.id] != s.content || a.Result.Status != w.resultOf(s.id) {
			t.Fatalf("%s: answer %+v is not the result of its run", s.id, a.Result)
		}
		return
	}
	ran := w.runs[s.id] > 0 && w.ranContent[s.id] == s.content
	if verdict.Of(a.Err) == verdict.NotRun && (ran || s.out) {
		t.Fatalf("%s: answered not_run (%v) but ran", s.id, a.Err)
	}
}

// resultOf is what the target answers to the only run of a request.
func (w *world) resultOf(id string) int { return 1000 + len(id) }

// runAtTarget counts an arrival that runs.
func (w *world) runAtTarget(t *rapid.T, s *submission) {
	w.runs[s.id]++
	w.ranContent[s.id] = s.content
	s.ran = true
	if w.runs[s.id] > 1 {
		t.Fatalf("%s ran %d times", s.id, w.runs[s.id])
	}
	if s.answer != nil && verdict.Of(s.answer.Err) == verdict.NotRun {
		t.Fatalf("%s ran after its answer not_run", s.id)
	}
}

func (w *world) apply(t *rapid.T, cmd Command) Reply {
	w.index++
	r := w.ledger.Apply(w.index, cmd)
	if other := w.replica.Apply(w.index, cmd); !reflect.DeepEqual(r, other) {
		t.Fatalf("replicas differ on %T: %+v and %+v", cmd, r, other)
	}
	if rec, ok := cmd.(Record); ok && r.Outcome == Recorded {
		w.recorded[rec.RequestID] = r.Result.Status
	}
	if c, ok := cmd.(Claim); ok {
		w.checkRecorded(t, c, r)
	}
	return r
}

// checkRecorded checks that a recorded result is returned until the ID
// expires.
func (w *world) checkRecorded(t *rapid.T, c Claim, r Reply) {
	want, ok := w.recorded[c.RequestID]
	if !ok || r.Outcome == Mismatch || r.Outcome == Expired {
		return
	}
	if r.Outcome != Recorded || r.Result.Status != want {
		t.Fatalf("%s: recorded result %d is not returned but %v", c.RequestID, want, r.Outcome)
	}
}

func (w *world) pick(t *rapid.T, ok func(*submission) bool) *submission {
	var of []*submission
	for _, s := range w.subs {
		if s.x != nil && !s.x.Closed() && ok(s) {
			of = append(of, s)
		}
	}
	if len(of) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(of).Draw(t, "submission")
}

func (w *world) submit(t *rapid.T) {
	w.issued++
	id := fmt.Sprintf("%d-%s", w.now.UnixMilli(), "xyz"[:w.issued%3+1])
	if len(w.subs) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") > 0 {
		id = rapid.SampledFrom(w.subs).Draw(t, "earlier").id
	}
	content := Hash{byte(rapid.IntRange(0, 4).Draw(t, "content") / 4)}
	host := rapid.IntRange(0, 2).Draw(t, "host")
	w.fence++
	req := Request{ID: id, Content: content, Deadline: w.now.Add(3 * time.Second), First: !w.submitted[id]}
	for _, s := range w.subs {
		if s.id == id && s.first && s.answer == nil {
			w.step(t, s, CallerGone{}) // what First promises
		}
	}
	s := &submission{id: id, content: content, host: host, first: req.First}
	w.submitted[id] = true
	s.x = NewExecution(req, Claimant{fmt.Sprintf("h%d", host), w.incarnation[host]}, w.fence)
	w.subs = append(w.subs, s)
	w.step(t, s, Start{})
}

// deliver commits a proposal. Its reply may be lost, and a copy of it may
// stay on the way.
func (w *world) deliver(t *rapid.T) {
	if len(w.pending) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(w.pending)-1).Draw(t, "proposal")
	p := w.pending[i]
	fate := rapid.IntRange(0, 5).Draw(t, "fate")
	if fate > 1 {
		w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	}
	if fate == 5 {
		w.proposalFailed(t, p, true)
		return
	}
	r := w.apply(t, p.cmd)
	if fate <= 1 {
		w.pending[i].applied = true
	}
	if fate == 4 {
		w.proposalFailed(t, p, true)
		return
	}
	w.replied(t, p, r)
}

// replied hands a reply to the execution. A grant for one that has ended is
// released, as its documentation asks of the driver.
func (w *world) replied(t *rapid.T, p proposal, r Reply) {
	c, ok := p.cmd.(Claim)
	switch {
	case p.by == nil || p.by.x == nil:
	case ok && r.Outcome == Granted && p.by.x.Closed():
		w.pending = append(w.pending, proposal{cmd: Release{c.RequestID, c.Token}, by: p.by})
	case ok:
		w.step(t, p.by, ClaimAnswered{r})
	default:
		w.step(t, p.by, SettleAnswered{r})
	}
}

// quiet lets everything that is under way end without further faults.
func (w *world) quiet(t *rapid.T) {
	for range 100 {
		pending := w.pending
		w.pending = nil
		for _, p := range pending {
			w.replied(t, p, w.apply(t, p.cmd))
		}
		for _, s := range w.subs {
			if s.x != nil && s.out {
				s.out = false
				w.step(t, s, TargetReplied{Verdict: verdict.MayHaveRun})
			}
			if s.x != nil && s.watching {
				w.step(t, s, RequestChanged{w.ledger.Lookup(s.id)})
			}
			w.step(t, s, Tick{})
		}
		for c := range w.ledger.OpenClaims() {
			if c.Incarnation < w.incarnation[c.Host[1]-'0'] {
				w.apply(t, ClaimantDied{c}) // as the leader does
			}
		}
		w.now = w.now.Add(100 * time.Millisecond)
	}
	for _, s := range w.subs {
		if s.x != nil && !s.x.Closed() {
			t.Fatalf("%s never ends: phase %d", s.id, s.x.phase)
		}
	}
	if open := w.ledger.OpenClaims(); len(open) > 0 {
		t.Fatalf("claims stay open: %v", open)
	}
}

func (w *world) proposalFailed(t *rapid.T, p proposal, sent bool) {
	if _, ok := p.cmd.(Claim); ok {
		w.step(t, p.by, ClaimFailed{sent})
	} else if p.by != nil {
		w.step(t, p.by, SettleFailed{})
	}
}

// neverSent drops a claim that certainly did not reach the log.
func (w *world) neverSent(t *rapid.T) {
	i := len(w.pending) - 1
	if i < 0 || w.pending[i].applied {
		t.Skip("none")
	}
	p := w.pending[i]
	w.pending = w.pending[:i]
	w.proposalFailed(t, p, false)
}

func (w *world) targetReplies(t *rapid.T) {
	s := w.pick(t, func(s *submission) bool { return s.out })
	s.out = false
	switch rapid.IntRange(0, 4).Draw(t, "reply") {
	case 0:
		w.step(t, s, TargetReplied{Verdict: verdict.NotRun, Reason: "shed"})
	case 1:
		w.runAtTarget(t, s)
		w.step(t, s, TargetReplied{Verdict: verdict.MayHaveRun})
	case 2:
		w.step(t, s, TargetReplied{Verdict: verdict.MayHaveRun})
	default:
		w.runAtTarget(t, s)
		w.step(t, s, TargetReplied{Verdict: verdict.Ran, Result: Result{Status: w.resultOf(s.id)}})
	}
}

func (w *world) crash(t *rapid.T) {
	host := rapid.IntRange(0, 2).Draw(t, "host")
	for _, s := range w.subs {
		if s.host != host || s.x == nil {
			continue
		}
		if s.out && rapid.Bool().Draw(t, "arrives") {
			w.runAtTarget(t, s)
		}
		s.x, s.out = nil, false
	}
	w.pending = append(w.pending, proposal{cmd: ClaimantDied{Claimant{fmt.Sprintf("h%d", host), w.incarnation[host]}}})
	w.incarnation[host]++
}

// Guards against an order that runs twice, an answer "not run" for an order
// that ran, a result that is lost, and an execution or claim that never ends: claimants crash or are declared dead
// while alive, proposals come late, twice or never, replies are lost, callers
// resend with the same and other content, clocks differ by up to an hour, and
// IDs expire. A replica restored from snapshots must answer alike.
func TestOrdersRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"submit":    w.submit,
			"deliver":   w.deliver,
			"deliver2":  w.deliver,
			"deliver3":  w.deliver,
			"neverSent": w.neverSent,
			"target":    w.targetReplies,
			"target2":   w.targetReplies,
			"crash":     w.crash,
			"falsely declared dead": func(t *rapid.T) {
				host := rapid.IntRange(0, 2).Draw(t, "host")
				w.apply(t, ClaimantDied{Claimant{fmt.Sprintf("h%d", host), w.incarnation[host]}})
			},
			"watch": func(t *rapid.T) {
				s := w.pick(t, func(s *submission) bool { return s.watching })
				w.step(t, s, RequestChanged{w.ledger.Lookup(s.id)})
			},
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
				for _, s := range w.subs {
					w.step(t, s, Tick{})
				}
			},
			"caller gone": func(t *rapid.T) {
				s := w.pick(t, func(*submission) bool { return true })
				w.step(t, s, CallerGone{})
			},
			"snapshot": func(*rapid.T) { w.replica = Restore(w.ledger.State()) },
		})
		w.quiet(t)
	})
}
