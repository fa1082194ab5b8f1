package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fleet runs the decisions of many hosts on virtual time. Messages take time and may be
// lost; hosts fail, restart and are suspended; their clocks differ in rate.
type fleet struct {
	now    time.Duration // true time
	queue  events
	seq    int
	rng    *rand.Rand
	policy Policy
	hosts  []*simHost
	byName map[string]*simHost
	// epoch and members are the agreed list, which the leader changes.
	epoch    uint64
	members  []string
	loss     float64        // share of lost messages
	slow     float64        // share of messages that take up to 300 ms
	notRun   float64        // share of the requests with a token that don't run
	messages map[string]int // requests for tokens, by account
	runs     map[string][]run
	denied   map[string][]denial
	unknown  map[string]int // requests rejected because no owner answered, by account
}

// run is a request that ran: when its caller sent it and when its token was spent.
type run struct{ sent, spent time.Duration }

// denial is a request over the limit.
type denial struct {
	at    time.Duration
	after time.Duration // the retry hint
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simHost is one host of a fleet.
type simHost struct {
	name      string
	rate      float64 // of its clock
	process   int     // counts restarts; work of earlier processes is dropped
	up        bool
	resumesAt time.Duration // end of a suspension
	side      int           // hosts of different sides of a partition don't reach each other
	authority *Authority
	owner     *Owner
	holders   map[string]*Holder
	silent    Avoided
	known     map[string]Known
}

const (
	simPoll    = 200 * time.Millisecond
	simTimeout = 40 * time.Millisecond
)

var simPolicy = Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20, Drift: 0.05}

func newFleet(seed uint64, hosts int, limits map[string]Limit) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), policy: simPolicy, byName: map[string]*simHost{}, epoch: 2,
		messages: map[string]int{}, runs: map[string][]run{}, denied: map[string][]denial{}, unknown: map[string]int{},
	}
	for i := range hosts {
		h := &simHost{name: fmt.Sprintf("h%02d", i), rate: 1, known: map[string]Known{}}
		for name, l := range limits {
			h.known[name] = Known{Plan: 1, Listed: true, Limit: l}
		}
		f.hosts = append(f.hosts, h)
		f.byName[h.name] = h
		f.members = append(f.members, h.name)
		f.start(h)
	}
	return f
}

// start starts a process of a host.
func (f *fleet) start(h *simHost) {
	h.process++
	h.up, h.resumesAt = true, 0
	h.authority = NewAuthority(h.name)
	h.owner = NewOwner(f.policy, h.authority, uint64(h.process)<<32)
	h.holders, h.silent = map[string]*Holder{}, Avoided{}
	f.poll(h)
}

func (h *simHost) clock(at time.Duration) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(at) * h.rate))
}

// at runs do at a time, on whatever host.
func (f *fleet) at(at time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{at, f.seq, do})
}

// on runs do at a host after a time, once the host is not suspended, unless its process
// has ended by then.
func (f *fleet) on(h *simHost, after time.Duration, do func()) {
	process := h.process
	var step func()
	step = func() {
		switch {
		case h.process != process || !h.up:
		case f.now < h.resumesAt:
			f.at(h.resumesAt, step)
		default:
			do()
		}
	}
	f.at(f.now+after, step)
}

// run runs all events up to a time.
func (f *fleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// delay is the time that a message takes.
func (f *fleet) delay() time.Duration {
	if f.slow > 0 && f.rng.Float64() < f.slow {
		return time.Duration(f.rng.IntN(300)) * time.Millisecond
	}
	return time.Duration(500+f.rng.IntN(4000)) * time.Microsecond
}

// poll asks the leader, which is on side 0, for the agreed list, again and again.
func (f *fleet) poll(h *simHost) {
	sentAt := h.clock(f.now)
	f.at(f.now+f.delay(), func() {
		if h.side != 0 {
			return
		}
		epoch, members := f.epoch, f.members
		f.on(h, f.delay(), func() { h.authority.Observe(h.clock(f.now), epoch, members, sentAt) })
	})
	f.on(h, simPoll, func() { f.poll(h) })
}

// setMembers makes the leader accept another list.
func (f *fleet) setMembers(members []string) {
	f.epoch++
	f.members = slices.Clone(members)
}

func (h *simHost) holder(account string) *Holder {
	if h.holders[account] == nil {
		h.holders[account] = NewHolder()
	}
	return h.holders[account]
}

// request is one caller's request at a host.
func (f *fleet) request(h *simHost, account string) {
	if !h.up || f.now < h.resumesAt {
		return
	}
	sent, l := f.now, h.known[account].Limit
	decision, token, after := h.holder(account).Arrive(h.clock(f.now), l)
	switch decision {
	case Spend:
		f.spend(h, account, sent, token)
	case Deny:
		f.denied[account] = append(f.denied[account], denial{f.now, after})
	case Ask:
		if h.authority.List() == nil {
			f.unknown[account]++
			return
		}
		ask, _ := h.holder(account).Candidates(h.clock(f.now), h.authority.List().Owners(account), h.silent)
		f.ask(h, account, sent, ask)
	}
}

func (f *fleet) spend(h *simHost, account string, sent time.Duration, t Token) {
	if f.rng.Float64() < f.notRun {
		f.on(h, f.delay(), func() { h.holder(account).Return(h.clock(f.now), t) })
		return
	}
	f.runs[account] = append(f.runs[account], run{sent, f.now})
}

// ask asks the owners in turn for the token of one request.
func (f *fleet) ask(h *simHost, account string, sent time.Duration, owners []string) {
	if len(owners) == 0 {
		f.unknown[account]++
		return
	}
	f.messages[account]++
	name, holder, known := owners[0], h.holder(account), h.known[account]
	sentAt := h.clock(f.now)
	r := Request{Account: account, Plan: known.Plan, Needed: 1, Extra: holder.Extra(1), Denied: holder.TakeDenied(), Reports: holder.Reports(sentAt, name)}
	answered, process := false, h.process
	receive := func(reply Reply) {
		if h.process != process {
			return
		}
		now := h.clock(f.now)
		standby := h.authority.List().Owners(account)[0] != name
		if answered { // too late for this request
			delete(h.silent, name)
			holder.Receive(now, sentAt, name, standby, reply, known.Limit, 0)
			return
		}
		answered = true
		granted, token := holder.Receive(now, sentAt, name, standby, reply, known.Limit, 1)
		if reply.Lease != 0 {
			f.on(h, ReportAfter, func() { f.report(h, account) })
		}
		switch {
		case granted == 1:
			f.spend(h, account, sent, token)
		case reply.Outcome == OverLimit:
			f.denied[account] = append(f.denied[account], denial{f.now, reply.RetryAfter})
		default:
			f.ask(h, account, sent, owners[1:])
		}
	}
	f.deliver(h, f.byName[name], func(o *simHost) {
		reply := o.owner.Acquire(o.clock(f.now), r, o.known[account])
		f.deliver(o, h, func(*simHost) { receive(reply) })
	})
	f.on(h, simTimeout, func() {
		if !answered {
			answered = true
			h.silent.Add(name, h.clock(f.now).Add(UnresponsiveFor))
			f.ask(h, account, sent, owners[1:])
		}
	})
}

// report sends the reports that no request for tokens has carried.
func (f *fleet) report(h *simHost, account string) {
	holder := h.holder(account)
	for _, name := range holder.Due(h.clock(f.now)) {
		f.messages[account]++
		r := Request{Account: account, Plan: h.known[account].Plan, Reports: holder.Reports(h.clock(f.now), name)}
		f.deliver(h, f.byName[name], func(o *simHost) { o.owner.Acquire(o.clock(f.now), r, o.known[account]) })
	}
}

// deliver takes a message from a host to another one.
func (f *fleet) deliver(from, to *simHost, do func(*simHost)) {
	delay := f.delay()
	if from == to {
		delay = 0
	} else if f.rng.Float64() < f.loss || from.side != to.side {
		return
	}
	f.on(to, delay, func() { do(to) })
}

// demand lets callers send requests of an account until a time, at a rate per second that
// depends on the time, to hosts with uneven weights.
func (f *fleet) demand(account string, until time.Duration, skew float64, rate func(time.Duration) float64) {
	hosts := f.rng.Perm(len(f.hosts))
	// Redrawing the time to the next request after this step follows a changed rate, and
	// leaves the requests of a constant one as random as before.
	const step = 50 * time.Millisecond
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		gap := time.Duration(min(f.rng.ExpFloat64()/rate(f.now), 1) * float64(time.Second))
		if gap >= step {
			f.at(f.now+step, next)
			return
		}
		f.at(f.now+gap, func() {
			// A higher power sends more of the requests to the first few hosts.
			x := f.rng.Float64()
			for i := 1.0; i < skew; i++ {
				x *= f.rng.Float64()
			}
			f.request(f.hosts[hosts[int(x*float64(len(hosts)))]], account)
			next()
		})
	}
	f.at(f.now, next)
}

// worst returns the greatest share of the bound that the requests of an account that were
// sent after a time used up in any window.
func (f *fleet) worst(account string, l Limit, after time.Duration) float64 {
	p := f.policy
	bound := (l.Rate*p.Window.Seconds()+l.Burst)*(1+p.Overage) + p.Slack
	runs := slices.DeleteFunc(slices.Clone(f.runs[account]), func(r run) bool { return r.sent < after })
	slices.SortFunc(runs, func(a, b run) int { return int(a.sent - b.sent) })
	most := 0
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.sent > first.sent+p.Window {
				break
			}
			if r.spent <= first.sent+p.Window {
				n++
			}
		}
		most = max(most, n)
	}
	return float64(most) / bound
}
