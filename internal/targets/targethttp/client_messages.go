package targethttp

import "encoding/json"

// SearchRequest asks one searcher for the hits of one shard of one index
// snapshot. The client fills in the deadline.
type SearchRequest struct {
	RequestID     string `json:"request_id"`
	Attempt       int    `json:"attempt"`
	Searcher      string `json:"searcher"`
	IndexSnapshot string `json:"index_snapshot"`
	Shard         string `json:"shard"`
	Terms         string `json:"terms"`
	K             int    `json:"k"`
	DeadlineMS    int64  `json:"deadline_ms"` // time left when the request was sent
}

// Hit is one result of a search.
type Hit struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

// SearchReply is a target's reply to a SearchRequest. Draining is set if the
// target must not receive new work.
type SearchReply struct {
	RequestID     string `json:"request_id"`
	Attempt       int    `json:"attempt"`
	IndexSnapshot string `json:"index_snapshot"`
	Shard         string `json:"shard"`
	Hits          []Hit  `json:"hits"`
	Draining      bool   `json:"draining"`
}

// OrderRequest asks a target to run a non-idempotent request. The client
// fills in the deadline.
type OrderRequest struct {
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
	DeadlineMS int64           `json:"deadline_ms"` // time left when the request was sent
}

// OrderReply is a target's reply to an OrderRequest that ran.
type OrderReply struct {
	RequestID string          `json:"request_id"`
	Result    json.RawMessage `json:"result"`
}

// refusal is the body of a reply by which a target refuses a request. RequestID
// is optional.
type refusal struct {
	NotRun    bool   `json:"not_run"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
}
