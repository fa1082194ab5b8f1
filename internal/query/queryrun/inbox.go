package queryrun

import (
	"sync"

	"github.com/hawthornlock/hawthornlock/internal/query"
)

// inbox collects the replies to a query. A mutex and a signal cost less than a
// channel of replies that hundreds of goroutines send on at once, and senders
// never block.
type inbox struct {
	ready chan struct{} // holds a token while there may be replies

	mu      sync.Mutex
	replies []query.Reply
	closed  bool
}

func newInbox() *inbox { return &inbox{ready: make(chan struct{}, 1)} }

// put adds a reply. It reports false if the query has ended.
func (b *inbox) put(rep query.Reply) bool {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return false
	}
	b.replies = append(b.replies, rep)
	first := len(b.replies) == 1
	b.mu.Unlock()
	if first {
		select {
		case b.ready <- struct{}{}:
		default:
		}
	}
	return true
}

// take returns the collected replies and reuses the capacity of used for later
// replies.
func (b *inbox) take(used []query.Reply) []query.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.replies
	b.replies = used[:0]
	return out
}

// close makes put reject further replies, and returns the number of replies
// left in the inbox.
func (b *inbox) close() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return len(b.replies)
}
