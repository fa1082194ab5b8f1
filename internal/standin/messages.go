package standin

import "encoding/json"

// The JSON messages of the target protocol as a target implements them. They are
// independent of the daemon's encoding, so that tests fail when the two sides no
// longer agree.

type announcement struct {
	Target          string            `json:"target"`
	Incarnation     uint64            `json:"incarnation"`
	Seq             uint64            `json:"seq"`
	Address         string            `json:"address"`
	FailureDomain   string            `json:"failure_domain"`
	Labels          map[string]string `json:"labels"`
	ConnectionLimit int               `json:"connection_limit"`
	State           string            `json:"state"`
	Searchers       []searcherMessage `json:"searchers"`
	IndexSnapshots  []snapshotMessage `json:"index_snapshots"`
	Reported        reportedMessage   `json:"reported"`
}

type searcherMessage struct {
	Searcher string           `json:"searcher"`
	Slots    int              `json:"slots"`
	Holds    []holdingMessage `json:"holds"`
}

type holdingMessage struct {
	IndexSnapshot string   `json:"index_snapshot"`
	Shards        []string `json:"shards"`
}

type snapshotMessage struct {
	IndexSnapshot string   `json:"index_snapshot"`
	Layout        []string `json:"layout"`
	Generation    uint64   `json:"generation"`
}

type reportedMessage struct {
	Healthy bool    `json:"healthy"`
	Load    float64 `json:"load"`
}

type searchMessage struct {
	RequestID     string `json:"request_id"`
	Attempt       uint32 `json:"attempt"`
	Searcher      string `json:"searcher"`
	IndexSnapshot string `json:"index_snapshot"`
	Shard         string `json:"shard"`
	Terms         string `json:"terms"`
	K             int    `json:"k"`
	DeadlineMS    int64  `json:"deadline_ms"`
}

type searchReply struct {
	RequestID     string       `json:"request_id"`
	Attempt       uint32       `json:"attempt"`
	IndexSnapshot string       `json:"index_snapshot"`
	Shard         string       `json:"shard"`
	Hits          []hitMessage `json:"hits"`
	Draining      bool         `json:"draining"`
}

type hitMessage struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

type orderMessage struct {
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
	DeadlineMS int64           `json:"deadline_ms"`
}

type orderReply struct {
	RequestID string `json:"request_id"`
	Result    string `json:"result"`
}

type refusal struct {
	NotRun bool   `json:"not_run"`
	Reason string `json:"reason"`
}
