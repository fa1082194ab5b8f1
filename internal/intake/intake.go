// Package intake decides how much of a process's memory and descriptors clients may use
// for requests that have not been answered yet, and which connection is refused when a
// limit is reached.
package intake

import (
	"net/netip"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Codes of refusals.
const (
	CodeMemory  verdict.Code = "intake_memory_full" // requests in progress hold too much memory
	CodeStalled verdict.Code = "request_stalled"    // the client stopped sending
)

// retryAfter is the retry hint of a refusal for want of memory. Requests that are in
// progress end within seconds.
const retryAfter = time.Second

// Refusal returns the error of a request that was refused before it ran.
func Refusal(code verdict.Code) *verdict.Error {
	if code == CodeStalled {
		return verdict.New(verdict.NotRun, code, "the client stopped sending its request")
	}
	return verdict.New(verdict.NotRun, code, "requests that are being received hold all memory set aside for them").WithRetryAfter(retryAfter)
}

// Memory that requests take, in bytes.
const (
	// ConnectionCost is what a connection takes without a charge: its receive buffer in
	// the kernel, the stacks of its goroutines, the buffers of the server, and the first
	// FreeCharge bytes of its request.
	ConnectionCost = 64 << 10
	// FreeCharge is the part of a request that is not charged. Most requests are smaller,
	// so that they are read also while large ones use up the budget.
	FreeCharge = 16 << 10
	// lineCost is what a header line takes in addition to its bytes: an entry of two maps
	// that are half full, a name, a list and a value. A line has at least three bytes, so
	// a head can take 128 times its size.
	lineCost = 384
	// byteCost is what a byte of a body takes while its buffer grows: the old and the new
	// buffer.
	byteCost = 2
	// headByteCost is what a byte of a head takes: the old and the new buffer of a long
	// line, and its copies as a string and as values.
	headByteCost = 4
)

// HeadCost returns the memory that a part of a head takes.
func HeadCost(bytes, lines int) int64 { return headByteCost*int64(bytes) + lineCost*int64(lines) }

// BodyCost returns the memory that a part of a body takes while it is read.
func BodyCost(bytes int) int64 { return byteCost * int64(bytes) }

// Phase is the state of the request on a connection.
type Phase uint8

// Phases of a connection.
const (
	Waiting   Phase = iota // no byte of the next request has arrived
	Head                   // the head is being received
	Body                   // the body is being received
	Complete               // the request was received and has not been answered
	Answering              // a part of the answer is being written
)

// progressStep is the progress in bytes that makes a request count as moving. Requests
// that trickle byte by byte are therefore refused before others.
const progressStep = 4 << 10

// Limits bound the memory of requests in progress, in bytes.
type Limits struct {
	Memory         int64
	ListenerMemory int64 // of the requests of one listener
	AddressMemory  int64 // of the requests of one client address
}

// ListenerLimits bound the connections of one listener.
type ListenerLimits struct {
	Connections        int
	AddressConnections int // of one client address
}

// ID identifies a connection.
type ID uint64

type connection struct {
	id       ID
	listener string
	address  netip.Addr
	phase    Phase
	since    time.Time // of its last step of progress, or of its last change of phase
	received int64     // bytes since then
	used     int64     // memory of the request, including the part that is free
}

// charged returns the memory that counts towards the limits.
func (c *connection) charged() int64 { return max(0, c.used-FreeCharge) }

func (c *connection) incomplete() bool { return c.phase == Head || c.phase == Body }

// Ledger keeps account of the connections of all listeners. It is not safe for
// concurrent use.
type Ledger struct {
	limits      Limits
	connections map[ID]*connection
	memory      int64        // charged
	leaving     map[ID]int64 // charged memory of refused requests whose goroutines still run
	left        int64        // sum of leaving
	listeners   map[string]*account
	addresses   map[netip.Addr]*account
	next        ID
}

// account sums up the connections of a listener or a client address.
type account struct {
	memory      int64
	connections int
}

// NewLedger returns a ledger without connections.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, connections: map[ID]*connection{}, leaving: map[ID]int64{}, listeners: map[string]*account{}, addresses: map[netip.Addr]*account{}}
}

// Memory returns the charged memory in bytes.
func (l *Ledger) Memory() int64 { return l.memory }

// Connections returns the number of connections of a listener.
func (l *Ledger) Connections(listener string) int {
	if a := l.listeners[listener]; a != nil {
		return a.connections
	}
	return 0
}

// Open adds a connection. It returns the connections to close in its favor, which are
// removed. If there are not enough of them, ok is false and the new connection is to be
// closed.
func (l *Ledger) Open(listener string, address netip.Addr, limits ListenerLimits, now time.Time) (id ID, closed []ID, ok bool) {
	// A caller with too many connections makes room at its own expense.
	for n := l.count(listener, address); n >= limits.AddressConnections; n-- {
		if closed, ok = l.closeOne(closed, now, func(c *connection) bool { return c.listener == listener && c.address == address }); !ok {
			return 0, closed, false
		}
	}
	for l.Connections(listener) >= limits.Connections {
		if closed, ok = l.closeOne(closed, now, func(c *connection) bool { return c.listener == listener }); !ok {
			return 0, closed, false
		}
	}
	l.next++
	c := &connection{id: l.next, listener: listener, address: address, since: now}
	l.connections[c.id] = c
	for _, a := range l.accounts(c) {
		a.connections++
	}
	return c.id, closed, true
}

func (l *Ledger) count(listener string, address netip.Addr) int {
	n := 0
	if l.addresses[address] == nil {
		return 0
	}
	for _, c := range l.connections {
		if c.listener == listener && c.address == address {
			n++
		}
	}
	return n
}

// unreadGrace is how long a client may take nothing of its answer before its connection
// may be closed in favor of a new one. It is longer than a lost packet takes.
const unreadGrace = 5 * time.Second

// mayClose reports whether a connection may be closed in favor of a new one: one that is
// idle, sends a request, or whose client does not take its answer. A request that waits for
// its answer is never cut off.
func (c *connection) mayClose(now time.Time) bool {
	switch c.phase {
	case Complete:
		return false
	case Answering:
		return now.Sub(c.since) >= unreadGrace
	default:
		return true
	}
}

// closeOne removes the connection that is the first to go among those that match: the
// one without progress for the longest time.
func (l *Ledger) closeOne(closed []ID, now time.Time, match func(*connection) bool) ([]ID, bool) {
	var first *connection
	for _, c := range l.connections {
		if c.mayClose(now) && match(c) && (first == nil || refusedBefore(c, first)) {
			first = c
		}
	}
	if first == nil {
		return closed, false
	}
	l.refuse(first)
	return append(closed, first.id), true
}

// refusedBefore reports whether a has been without progress for longer than b.
func refusedBefore(a, b *connection) bool {
	if c := a.since.Compare(b.since); c != 0 {
		return c < 0
	}
	return a.id < b.id
}

// accounts returns the accounts of a connection.
func (l *Ledger) accounts(c *connection) [2]*account {
	listener, address := l.listeners[c.listener], l.addresses[c.address]
	if listener == nil {
		listener = &account{}
		l.listeners[c.listener] = listener
	}
	if address == nil {
		address = &account{}
		l.addresses[c.address] = address
	}
	return [2]*account{listener, address}
}

// refuse removes a connection whose request is refused. Its memory no longer counts as
// that of a request, but as memory that is about to be returned.
func (l *Ledger) refuse(c *connection) {
	if n := c.charged(); n > 0 {
		l.leaving[c.id] = n
		l.left += n
	}
	l.remove(c)
}

func (l *Ledger) remove(c *connection) {
	l.setUsed(c, 0)
	delete(l.connections, c.id)
	for _, a := range l.accounts(c) {
		a.connections--
	}
	if l.addresses[c.address].connections == 0 {
		delete(l.addresses, c.address)
	}
}

// Close removes a connection, or records that the goroutines of a refused one have
// returned its memory. A connection that is not known has no effect.
func (l *Ledger) Close(id ID) {
	l.left -= l.leaving[id]
	delete(l.leaving, id)
	if c := l.connections[id]; c != nil {
		l.remove(c)
	}
}

func (l *Ledger) setUsed(c *connection, used int64) {
	before := c.charged()
	c.used = used
	change := c.charged() - before
	l.memory += change
	for _, a := range l.accounts(c) {
		a.memory += change
	}
}

// Enter records the phase of the request on a connection. Waiting means that a request
// was answered: its memory is returned.
func (l *Ledger) Enter(id ID, p Phase, now time.Time) {
	c := l.connections[id]
	if c == nil {
		return
	}
	if p == Waiting {
		l.setUsed(c, 0)
	}
	c.phase, c.since, c.received = p, now, 0
}

// Answer records that a part of an answer is about to be written or was taken, and that this
// is progress. Bytes that are written before the request is complete, such as the interim
// response that asks for a body, change nothing.
func (l *Ledger) Answer(id ID, taken bool, now time.Time) {
	c := l.connections[id]
	if c == nil || c.phase != Complete && c.phase != Answering {
		return
	}
	c.phase, c.since = Answering, now
	if taken {
		c.phase = Complete
	}
}

// PhaseOf returns the phase of a connection.
func (l *Ledger) PhaseOf(id ID) Phase {
	if c := l.connections[id]; c != nil {
		return c.phase
	}
	return Waiting
}

// Receive charges bytes that arrived on a connection with their cost in memory. It
// returns the connections whose requests are refused in its favor, those without progress
// for the longest time; they are removed. ok is false if the request itself is refused and
// removed.
//
// Refused requests hold their memory until their goroutines have run, see Close. While
// that is as much as the whole budget, requests are refused rather than others for them,
// so that both together take at most twice the budget on a busy machine.
func (l *Ledger) Receive(id ID, bytes int, cost int64, now time.Time) (refused []ID, ok bool) {
	c := l.connections[id]
	if c == nil {
		return nil, false
	}
	if c.phase == Complete || c.phase == Answering {
		return nil, true // a byte of the next request, read ahead
	}
	if c.received += int64(bytes); c.received >= progressStep {
		c.since, c.received = now, 0
	}
	l.setUsed(c, c.used+cost)
	if c.charged() == 0 {
		return nil, true
	}
	for over := l.over(c); over != nil; over = l.over(c) {
		first := c
		if l.left < l.limits.Memory {
			first = l.firstRefused(c, over)
		}
		l.refuse(first)
		if first == c {
			return refused, false
		}
		refused = append(refused, first.id)
	}
	return refused, true
}

// firstRefused returns the incomplete request that is the first to be refused among those
// that match, of which c is one.
func (l *Ledger) firstRefused(c *connection, match func(*connection) bool) *connection {
	first := c
	for _, o := range l.connections {
		if o.incomplete() && o.charged() > 0 && match(o) && refusedBefore(o, first) {
			first = o
		}
	}
	return first
}

// over returns which connections share a limit that is exceeded, or nil.
func (l *Ledger) over(c *connection) func(*connection) bool {
	accounts := l.accounts(c)
	switch {
	case accounts[1].memory > l.limits.AddressMemory:
		return func(o *connection) bool { return o.address == c.address }
	case accounts[0].memory > l.limits.ListenerMemory:
		return func(o *connection) bool { return o.listener == c.listener }
	case l.memory > l.limits.Memory:
		return func(*connection) bool { return true }
	default:
		return nil
	}
}

// EndPeriod ends a period in which a body must have made progress, and reports whether it
// has stalled instead. A stalled request is removed.
func (l *Ledger) EndPeriod(id ID, since time.Time) (stalled bool) {
	c := l.connections[id]
	if c == nil || c.phase != Body {
		return false
	}
	if !c.since.After(since) && c.received < minProgress {
		l.refuse(c)
		return true
	}
	c.received = 0
	return false
}

// minProgress is the least number of bytes of a body in each period of the limit on
// stalled requests.
const minProgress = 1 << 10

// Shares of the process's memory limit.
const (
	// memoryDivisor is the part of the memory limit that requests in progress may take. The
	// replies of searchers may take another eighth; two budgets, since a client must not
	// be able to use up what the replies to others need.
	memoryDivisor = 8
	// defaultMemory and defaultConnections apply without a memory limit.
	defaultMemory      = 64 << 20 // bytes
	defaultConnections = 4096
	// connectionsDivisor is the part of the memory limit that callers' connections may take.
	connectionsDivisor = 4
	// listenerDivisor sets aside this part of the memory for the other listeners, so that
	// callers can't keep targets and operators out.
	listenerDivisor = 8
)

// Settings are what an operator sets; 0 for what follows from the memory limit.
type Settings struct {
	MemoryLimit     uint64 // of the process in bytes; 0 for none
	Memory          uint64 // bytes
	Connections     int
	MemoryPermille  int // of Memory, for one client address
	AddressPermille int // of the connections, for one client address
}

// LimitsOf returns the limits on memory.
func LimitsOf(s Settings) Limits {
	memory := int64(s.Memory)
	switch {
	case memory > 0:
	case s.MemoryLimit > 0:
		memory = int64(s.MemoryLimit / memoryDivisor)
	default:
		memory = defaultMemory
	}
	return Limits{Memory: memory, ListenerMemory: memory - memory/listenerDivisor, AddressMemory: memory * int64(s.MemoryPermille) / 1000}
}

// ConnectionsOf returns the limits of a listener, whose default is a share of that of the
// callers' listener.
func ConnectionsOf(s Settings, divisor int) ListenerLimits {
	n := s.Connections
	if n == 0 {
		n = defaultConnections / divisor
		if s.MemoryLimit > 0 {
			n = int(s.MemoryLimit/connectionsDivisor/ConnectionCost) / divisor
		}
	}
	return ListenerLimits{Connections: n, AddressConnections: max(1, n*s.AddressPermille/1000)}
}
