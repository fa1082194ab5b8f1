package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/daemon"
	"github.com/hawthornlock/hawthornlock/internal/standin"
)

// answer is a response of the caller API.
type answer struct {
	RequestID     string `json:"request_id"`
	IndexSnapshot string `json:"index_snapshot"`
	Verdict       string `json:"verdict"`
	Coverage      struct {
		Total    int      `json:"total"`
		Answered []string `json:"answered"`
		Missing  []struct {
			Shard  string `json:"shard"`
			Reason string `json:"reason"`
		} `json:"missing"`
	} `json:"coverage"`
	Hits []struct {
		ID    string  `json:"id"`
		Score float64 `json:"score"`
		Text  string  `json:"text"`
	} `json:"hits"`
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

func (a *answer) complete() bool { return a.Coverage.Total > 0 && len(a.Coverage.Missing) == 0 }

// caller sends queries to the caller API.
type caller struct {
	url    string
	client *http.Client
}

func newCaller(address string) *caller {
	return &caller{url: "http://" + address + "/v1/query", client: &http.Client{Timeout: 10 * time.Second}}
}

type queryBody struct {
	Team        string  `json:"team"`
	Terms       string  `json:"terms"`
	K           int     `json:"k"`
	TimeoutMS   int     `json:"timeout_ms"`
	MinCoverage float64 `json:"min_coverage,omitempty"`
}

func (c *caller) query(ctx context.Context, q queryBody) (*answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, errors.Wrap(err, "encode query")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build query")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send query")
	}
	defer resp.Body.Close()
	var a answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, errors.Wrap(err, "decode answer")
	}
	return &a, nil
}

// script runs the steps of the demo in order.
type script struct {
	out    io.Writer
	caller *caller
	data   *standin.Dataset
}

func (s *script) run(ctx context.Context, d *daemon.Daemon, set *targetSet) error {
	fmt.Fprintf(s.out, "one host, %d targets, %d shards, %d records\n", targetCount, shardCount, s.data.Len())
	if err := pushConfiguration(ctx, d); err != nil {
		return err
	}
	if err := s.awaitComplete(ctx); err != nil {
		return err
	}
	if err := s.showAnswer(ctx, "greek small letter"); err != nil {
		return err
	}
	if err := s.measure(ctx); err != nil {
		return err
	}
	return s.showMissingShard(ctx, set)
}

// awaitComplete waits until the targets have announced every shard.
func (s *script) awaitComplete(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		a, err := s.caller.query(ctx, queryBody{Team: "demo", Terms: "letter", K: 1, TimeoutMS: 1000})
		if err == nil && a.complete() {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Newf("no complete answer within %s", startTimeout)
		}
	}
}

func (s *script) showAnswer(ctx context.Context, terms string) error {
	a, err := s.caller.query(ctx, queryBody{Team: "demo", Terms: terms, K: 5, TimeoutMS: 2000})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "\nquery %q: snapshot %s, verdict %s, %d of %d shards answered\n", terms, a.IndexSnapshot, a.Verdict, len(a.Coverage.Answered), a.Coverage.Total)
	for _, h := range a.Hits {
		fmt.Fprintf(s.out, "  %-8s %.2f  %s\n", h.ID, h.Score, h.Text)
	}
	if !a.complete() {
		return errors.Newf("the answer is incomplete: %v", a.Coverage.Missing)
	}
	return compare(a, s.data.FullScan(terms, 5))
}

// measure sends queryCount queries one after another, compares each complete
// answer with a full scan and writes the latency percentiles.
func (s *script) measure(ctx context.Context) error {
	words := []string{"latin letter", "arabic", "cjk", "hangul syllable", "mathematical bold", "sign", "digit", "arrow"}
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	complete := 0
	for i := range queryCount {
		terms := words[i%len(words)]
		start := time.Now()
		a, err := s.caller.query(ctx, queryBody{Team: "demo", Terms: terms, K: 10, TimeoutMS: 2000})
		if err != nil {
			return err
		}
		if err := latencies.RecordValue(int64(time.Since(start) / time.Microsecond)); err != nil {
			return errors.Wrap(err, "record latency")
		}
		if !a.complete() {
			continue
		}
		complete++
		if err := compare(a, s.data.FullScan(terms, 10)); err != nil {
			return err
		}
	}
	fmt.Fprintf(s.out, "\n%d queries, %d complete and equal to a full scan; p50 %.1f ms, p99 %.1f ms\n", queryCount, complete,
		milliseconds(latencies.ValueAtQuantile(50)), milliseconds(latencies.ValueAtQuantile(99)))
	if complete == 0 {
		return errors.New("no answer was complete")
	}
	return nil
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// showMissingShard stops the target with the only replica of the last shard and
// checks the coverage of the next answers.
func (s *script) showMissingShard(ctx context.Context, set *targetSet) error {
	if err := set.targets[targetCount-1].Close(); err != nil {
		return errors.Wrap(err, "stop a target")
	}
	a, err := s.caller.query(ctx, queryBody{Team: "demo", Terms: "letter", K: 5, TimeoutMS: 2000})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "\nwithout %s: verdict %s, %d of %d shards answered, missing %v\n",
		set.targets[targetCount-1].Name(), a.Verdict, len(a.Coverage.Answered), a.Coverage.Total, a.Coverage.Missing)
	if len(a.Coverage.Missing) != 1 || a.Coverage.Missing[0].Shard != set.lastShard() {
		return errors.Newf("the answer must lack exactly shard %s", set.lastShard())
	}
	if err := compare(a, s.data.FullScan("letter", 5, set.lastShard())); err != nil {
		return err
	}
	a, err = s.caller.query(ctx, queryBody{Team: "demo", Terms: "letter", K: 5, TimeoutMS: 2000, MinCoverage: 1})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "the same query with min_coverage 1: %s (verdict %s)\n", a.Error.Code, a.Error.Verdict)
	if a.Error.Code != "coverage_below_minimum" {
		return errors.New("an answer below the minimum coverage was not refused")
	}
	return nil
}

// compare returns an error unless the hits of an answer are the wanted matches.
func compare(a *answer, want []standin.Match) error {
	if len(a.Hits) != len(want) {
		return errors.Newf("answer %s has %d hits, a full scan has %d", a.RequestID, len(a.Hits), len(want))
	}
	for i, m := range want {
		if a.Hits[i].ID != m.ID || a.Hits[i].Score != m.Score {
			return errors.Newf("hit %d of answer %s is %s, a full scan has %s or another score", i, a.RequestID, a.Hits[i].ID, m.ID)
		}
	}
	return nil
}
