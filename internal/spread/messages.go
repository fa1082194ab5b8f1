package spread

import "github.com/hawthornlock/hawthornlock/internal/eventlog"

// Request carries items to a neighbour. Session identifies the sending
// process, so that a restart is detected.
type Request struct {
	From    string
	Session uint64
	ID      uint64
	Items   []Item
	Digest  *Digest // asks for the receiver's digest
	// Malformed counts the items that could not be decoded and are left out, and
	// MalformedReason says what was wrong with the first one.
	Malformed       int
	MalformedReason string
}

// Response acknowledges a request. Wanted lists the keys of the offers whose
// value the receiver lacks.
type Response struct {
	From    string
	Session uint64
	ID      uint64
	Wanted  []Key
	Digest  *Digest
}

// Event is an input of the state.
type Event interface{ isSpreadEvent() }

// Tick advances time. It is due at least about every 100 ms.
type Tick struct{}

// Peer is a neighbour. A leaf receives items from its relays only.
type Peer struct {
	Name string
	Leaf bool
}

// NeighboursChanged replaces the set of neighbours.
type NeighboursChanged struct {
	Peers []Peer
}

// Updated reports that the source has a newer version of an item. From is the
// host that sent it, and is empty if the version originates at this host.
type Updated struct {
	Key    Key
	From   string
	Urgent bool
}

// RequestReceived carries a request from a neighbour. Reply refers to it by Call.
type RequestReceived struct {
	Call    uint64
	Request Request
}

// ResponseReceived carries the response to a request.
type ResponseReceived struct {
	Response Response
}

// RequestFailed reports that a request got no response. Without this event, the
// request fails after RequestTimeout.
type RequestFailed struct {
	To string
	ID uint64
}

// Resync asks for an exchange of digests with a neighbour.
type Resync struct {
	Peer string
}

func (Tick) isSpreadEvent()              {}
func (NeighboursChanged) isSpreadEvent() {}
func (Updated) isSpreadEvent()           {}
func (RequestReceived) isSpreadEvent()   {}
func (ResponseReceived) isSpreadEvent()  {}
func (RequestFailed) isSpreadEvent()     {}
func (Resync) isSpreadEvent()            {}

// Effect is an output of the state.
type Effect interface{ isSpreadEffect() }

// Send sends a request to a neighbour.
type Send struct {
	To      string
	Request Request
}

// Reply answers the request of a RequestReceived. It must be executed after the
// Deliver that precedes it, since it acknowledges the items.
type Reply struct {
	Call     uint64
	Response Response
}

// Deliver passes newer items to the owners of the records.
type Deliver struct {
	From  string
	Items []Item
}

// Log writes a numbered event.
type Log struct {
	Event  eventlog.Event
	Peer   string
	Detail string // may be empty
}

func (Send) isSpreadEffect()    {}
func (Reply) isSpreadEffect()   {}
func (Deliver) isSpreadEffect() {}
func (Log) isSpreadEffect()     {}
