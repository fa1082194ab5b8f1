package forward

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loadRequest is a caller's request in a simulated load.
type loadRequest struct {
	account   string
	weight    float64
	at        time.Duration // of this try
	first     time.Duration // of the first try
	deadline  time.Duration
	objective time.Duration
	work      time.Duration
}

// loadResult is what the callers of one account got.
type loadResult struct {
	sent, inTime, answered, refused int
	prompt                          int // refusals within a quarter of the objective
}

func (r *loadResult) share() float64           { return float64(r.answered) / float64(r.sent) }
func (r *loadResult) withinObjective() float64 { return float64(r.inTime) / float64(r.sent) }

// waitingRoom is how the requests wait that find no free slot.
type waitingRoom interface {
	// offer has a request wait, or refuses it with the time after which to try again.
	offer(now time.Duration, r *loadRequest) (hint time.Duration, refused bool)
	// next returns the request whose turn it is, and those that are refused with their hints.
	next(now time.Duration) (r *loadRequest, refused []refusal)
	// ended observes an attempt and returns requests that are refused because of it.
	ended(now, took time.Duration) (refused []refusal)
}

type refusal struct {
	r    *loadRequest
	hint time.Duration
}

// earlierRoom orders as before: by priority, which is the same here, and deadline. Nothing
// is refused; a run ends at its deadline.
type earlierRoom struct{ items []*loadRequest }

func (q *earlierRoom) offer(_ time.Duration, r *loadRequest) (time.Duration, bool) {
	q.items = append(q.items, r)
	slices.SortStableFunc(q.items, func(a, b *loadRequest) int { return cmp.Compare(a.deadline, b.deadline) })
	return 0, false
}

func (q *earlierRoom) next(now time.Duration) (*loadRequest, []refusal) {
	for len(q.items) > 0 {
		r := q.items[0]
		q.items = q.items[1:]
		if r.deadline > now {
			return r, nil
		}
	}
	return nil, nil
}

func (q *earlierRoom) ended(time.Duration, time.Duration) []refusal { return nil }

// fairRoom waits by Queue.
type fairRoom struct {
	queue   Queue[*loadRequest]
	stretch Stretch
	slots   int
	cost    time.Duration
	rng     *rand.Rand
}

func (q *fairRoom) offer(now time.Duration, r *loadRequest) (time.Duration, bool) {
	at := queueStart.Add(now)
	q.queue.items = slices.DeleteFunc(q.queue.items, func(e queued[*loadRequest]) bool { return e.value.deadline <= now }) // their runs have ended
	t := Turn{Account: r.account, Weight: r.weight, Deadline: queueStart.Add(r.deadline), Cost: q.cost}
	wait := q.stretch.Wait(q.queue.Ahead(t), q.slots)
	if !Servable(at, t.Deadline, wait, q.cost) {
		return q.refusal(now, r).hint, true
	}
	q.queue.Push(t, r)
	return 0, false
}

func (q *fairRoom) next(now time.Duration) (*loadRequest, []refusal) {
	r, _, late := q.queue.Next(queueStart.Add(now), func(*loadRequest) time.Duration { return q.cost })
	var refused []refusal
	for _, l := range late {
		refused = append(refused, q.refusal(now, l))
	}
	return r, refused
}

func (q *fairRoom) ended(now, took time.Duration) []refusal {
	q.stretch.Observe(took, q.cost)
	wait := func(work time.Duration) time.Duration { return q.stretch.Wait(work, q.slots) }
	var refused []refusal
	for _, r := range q.queue.Hopeless(queueStart.Add(now), wait, func(*loadRequest) bool { return true }) {
		refused = append(refused, q.refusal(now, r))
	}
	return refused
}

func (q *fairRoom) refusal(now time.Duration, r *loadRequest) refusal {
	drain := max(q.stretch.Wait(q.queue.Work(), q.slots), drainOverload)
	return refusal{r, RetryHint(r.deadline-now, drain, q.rng.Float64())}
}

// play runs the requests through a service with some slots. pace returns how much longer
// than its work a request takes that begins at a time. Callers that are refused try again
// after the hint, while they have time left.
func play(room waitingRoom, slots int, cost time.Duration, pace func(time.Duration) float64, requests []*loadRequest) map[string]*loadResult {
	type running struct {
		r     *loadRequest
		since time.Duration
		end   time.Duration
	}
	results := make(map[string]*loadResult)
	pending := make([]*loadRequest, 0, len(requests))
	for _, r := range requests {
		own := *r
		pending = append(pending, &own)
		if results[r.account] == nil {
			results[r.account] = &loadResult{}
		}
		results[r.account].sent++
	}
	var work []running
	begin := func(now time.Duration, r *loadRequest) {
		work = append(work, running{r, now, now + time.Duration(pace(now)*float64(r.work))})
	}
	refuse := func(now time.Duration, r *loadRequest, hint time.Duration) {
		if now >= r.deadline {
			return // its run has ended
		}
		res := results[r.account]
		res.refused++
		if now-r.at <= r.objective/4 {
			res.prompt++
		}
		if hint > 0 && now+hint+cost < r.deadline {
			r.at = now + hint
			pending = append(pending, r)
		}
	}
	for now := time.Duration(0); len(pending)+len(work) > 0; now += time.Millisecond {
		work = slices.DeleteFunc(work, func(w running) bool {
			if w.end > now {
				return false
			}
			for _, l := range room.ended(now, now-w.since) {
				refuse(now, l.r, l.hint)
			}
			res := results[w.r.account]
			if now <= w.r.deadline {
				res.answered++
			}
			if now-w.r.first <= w.r.objective {
				res.inTime++
			}
			return true
		})
		for len(work) < slots {
			r, refused := room.next(now)
			for _, l := range refused {
				refuse(now, l.r, l.hint)
			}
			if r == nil {
				break
			}
			begin(now, r)
		}
		due := pending
		pending = nil
		for _, r := range due {
			switch {
			case r.at > now:
				pending = append(pending, r)
			case len(work) < slots:
				begin(now, r)
			default:
				if hint, refused := room.offer(now, r); refused {
					refuse(now, r, hint)
				}
			}
		}
	}
	return results
}

// account of a load sends at a rate that may change.
type loadAccount struct {
	name   string
	weight float64
	rate   func(time.Duration) float64 // per second
}

// arrivals returns the requests of accounts until an end, one of a hundred of which takes
// five times as long.
func arrivals(rng *rand.Rand, accounts []loadAccount, end, work, objective, deadline time.Duration) (out []*loadRequest) {
	for now := time.Duration(0); now < end; now += time.Millisecond {
		for _, a := range accounts {
			if rng.Float64() >= a.rate(now)/1000 {
				continue
			}
			r := &loadRequest{account: a.name, weight: a.weight, at: now, first: now, deadline: now + deadline, objective: objective, work: work}
			if rng.IntN(100) == 0 {
				r.work *= 5
			}
			out = append(out, r)
		}
	}
	return out
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// surge returns a rate that is factor times its usual between two times.
func surge(rate, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return factor * rate
		}
		return rate
	}
}

func usualPace(time.Duration) float64 { return 1 }

func sum(results map[string]*loadResult, except string) *loadResult {
	out := &loadResult{}
	for name, r := range results {
		if name != except {
			out.sent += r.sent
			out.inTime += r.inTime
			out.answered += r.answered
			out.refused += r.refused
			out.prompt += r.prompt
		}
	}
	return out
}

// Slots, work, objective and deadline of the simulated service.
const (
	loadSlots     = 6
	loadWork      = 120 * time.Millisecond
	loadObjective = 600 * time.Millisecond
	loadDeadline  = 3 * time.Second
)

func compareRooms(seed uint64, accounts []loadAccount, pace func(time.Duration) float64) (before, after map[string]*loadResult) {
	requests := arrivals(rand.New(rand.NewPCG(seed, 1)), accounts, 20*time.Second, loadWork, loadObjective, loadDeadline)
	before = play(&earlierRoom{}, loadSlots, loadWork, pace, requests)
	after = play(&fairRoom{slots: loadSlots, cost: loadWork, rng: rand.New(rand.NewPCG(seed, 2))}, loadSlots, loadWork, pace, requests)
	return before, after
}

// Guards against one account at seven times its usual rate for 6 s that costs the others
// their answers, and against an account that is shut out for it.
func TestAccountAtSevenTimesItsUsual(t *testing.T) {
	for seed := range uint64(5) {
		var accounts []loadAccount
		for i := range 9 {
			accounts = append(accounts, loadAccount{fmt.Sprint(i), 4, steady(2.5)})
		}
		accounts = append(accounts, loadAccount{"large", 16, surge(10, 7, 5*time.Second, 11*time.Second)})
		before, after := compareRooms(seed, accounts, usualPace)
		b, a := sum(before, "large"), sum(after, "large")
		t.Logf("seed %d: others in time %.3f before, %.3f after; the large account answered %.3f before, %.3f after", seed, b.withinObjective(), a.withinObjective(), before["large"].share(), after["large"].share())
		require.Greater(t, a.withinObjective(), b.withinObjective())
		require.Greater(t, a.withinObjective(), 0.95)
		require.Greater(t, after["large"].share(), sum(after, "").share()/4)
	}
}

// totals adds up what all callers get in five runs of a load before and after.
func totals(t *testing.T, accounts []loadAccount, pace func(time.Duration) float64) (before, after *loadResult) {
	t.Helper()
	before, after = &loadResult{}, &loadResult{}
	for seed := range uint64(5) {
		b, a := compareRooms(seed, accounts, pace)
		before, after = sum(map[string]*loadResult{"": before, "new": sum(b, "none")}, "none"), sum(map[string]*loadResult{"": after, "new": sum(a, "none")}, "none")
	}
	t.Logf("answered %.3f before, %.3f after; in time %.3f before, %.3f after; %d refusals of %d requests, %d of them within a quarter of the objective",
		before.share(), after.share(), before.withinObjective(), after.withinObjective(), after.refused, after.sent, after.prompt)
	return before, after
}

// Guards against a burst of twice the usual load for 5 s, after which fewer callers get an
// answer than before, or fewer in time.
func TestBurstOfTwiceTheUsual(t *testing.T) {
	b, a := totals(t, []loadAccount{{"", 1, surge(32, 2, 5*time.Second, 10*time.Second)}}, usualPace)
	require.GreaterOrEqual(t, a.share(), b.share())
	require.GreaterOrEqual(t, a.withinObjective(), b.withinObjective())
}

// Guards against requests that wait until their deadlines at a service whose searchers are
// five or twelve times slower for 8 s, although it was known that no turn would come. Over
// all runs no fewer callers get an answer than before, and no fewer in time; single runs
// differ either way, since refused callers come back with deadlines that are near.
func TestSlowSearchersRefuseAtOnce(t *testing.T) {
	for _, factor := range []float64{5, 12} {
		b, a := totals(t, []loadAccount{{"", 1, steady(32)}}, surge(1, factor, 5*time.Second, 13*time.Second))
		require.GreaterOrEqual(t, a.share(), b.share())
		require.GreaterOrEqual(t, a.withinObjective(), b.withinObjective())
		require.Zero(t, b.refused)
		require.Greater(t, 2*a.prompt, a.refused, "most refusals come at once")
	}
}
