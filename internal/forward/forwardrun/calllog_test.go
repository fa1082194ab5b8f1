package forwardrun

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Guards against gathers for other hosts that are not logged: without a line, a
// request that was handed over can't be traced to the searchers that failed.
func TestFailedGatherNamesItsRequestAndAttempts(t *testing.T) {
	var out bytes.Buffer
	l := NewGatherLog(eventlog.New(&out, zerolog.InfoLevel, "host-1"))
	l.Record(CallRecord{
		RequestID: "q-1", From: "host-2", Route: "r", Plan: 7,
		Answer: &Answer{Missing: 2, Attempts: []AttemptRecord{
			{Service: "s1", Target: "t1", Result: "good"},
			{Service: "s2", Target: "t2", Result: "lost", Took: 20 * time.Millisecond},
		}},
	})
	line := out.String()
	for _, want := range []string{`"event":8006`, `"request_id":"q-1"`, `"from":"host-2"`, `"config_version":7`, `"missing":2`, `"not_good":["s2/t2 lost 20ms"]`} {
		assert.Contains(t, line, want)
	}
}

// Guards against a log that grows with the number of failures, and against
// omitted lines that are not counted.
func TestFailuresAreLoggedUpToARate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewCallLog(eventlog.New(&out, zerolog.InfoLevel, "host-1"))
		failed := CallRecord{RequestID: "q", Err: verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no host")}
		for range 3 * failuresPerSec {
			l.Record(failed)
		}
		assert.Equal(t, failuresPerSec, strings.Count(out.String(), `"event":8001`))
		time.Sleep(time.Second)
		l.Record(failed)
		assert.Contains(t, out.String(), `"event":8002`)
		assert.Contains(t, out.String(), `"requests":40`)
	})
}
