package spread

import "github.com/hawthornlock/hawthornlock/internal/eventlog"

// Request carries items to a neighbour. Session identifies the sending
// process, so that a restart is noticed.
type Request struct {
	From    string
	Session uint64
	ID      uint64
	Items   []Item
	Digest  *Digest // asks for the receiver's digest
}

// Response acknowledges a request. Wanted names the offers whose value the
// receiver lacks.
type Response struct {
	From    string
	Session uint64
	ID      uint64
	Wanted  []Key
	Digest  *Digest
}

// Event is an input of the state.
type Event interface{ isSpreadEvent() }

// Tick lets time pass. It is due about every 100 ms or less.
type Tick struct{}

// Peer is a neighbour. A leaf receives news from its relays only.
type Peer struct {
	Name string
	Leaf bool
}

// NeighboursChanged replaces the neighbours.
type NeighboursChanged struct {
	Peers []Peer
}

// Updated says that the source has a newer version of an item. From names the
// host that it came from and is empty for news made here.
type Updated struct {
	Key    Key
	From   string
	Urgent bool
}

// RequestReceived brings a request. Call names it in Reply.
type RequestReceived struct {
	Call    uint64
	Request Request
}

// ResponseReceived brings the response to a request.
type ResponseReceived struct {
	Response Response
}

// RequestFailed says that a request got no response. Without this event, the
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

// Reply answers the request of a Received. It must follow the Deliver before
// it, since it acknowledges the items.
type Reply struct {
	Call     uint64
	Response Response
}

// Deliver hands newer items to the slices that hold the records.
type Deliver struct {
	From  string
	Items []Item
}

// Log writes a numbered event.
type Log struct {
	Event eventlog.Event
	Peer  string
}

func (Send) isSpreadEffect()    {}
func (Reply) isSpreadEffect()   {}
func (Deliver) isSpreadEffect() {}
func (Log) isSpreadEffect()     {}
