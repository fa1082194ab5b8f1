package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/standin"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// Guards against a graceful stop that closes a connection before the answer is
// written.
func TestGracefulStopWritesTheLastAnswer(t *testing.T) {
	n := startCluster(t, 1, 1)[0]
	entered, release := make(chan struct{}), make(chan struct{})
	n.servers["caller"].Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole answer")
	})
	type result struct {
		text string
		err  error
	}
	answer := make(chan result, 1)
	address := n.Address("caller").String()
	go func() {
		resp, err := http.Get("http://" + address)
		if err != nil {
			answer <- result{err: err}
			return
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		answer <- result{string(text), err}
	}()
	<-entered
	// The handler does not count as a request in progress, like one whose answer
	// is computed but not yet written, so the stop closes the servers.
	n.Stop()
	refused := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}
	require.Eventually(t, refused, waitTimeout, 10*time.Millisecond)
	close(release)
	r := <-answer
	require.NoError(t, r.err)
	require.Equal(t, "whole answer", r.text)
	require.NoError(t, <-n.ended)
	n.ended = nil
}

// Guards against a second signal that closes the connections of queries in progress
// without an answer.
func TestSecondSignalAnswersQueriesInProgress(t *testing.T) {
	n := startCluster(t, 1, 1)[0]
	startTargets(t, n.Daemon, standin.NewDataset("v1-", 4), 4, func(c *standin.Config) { c.ServiceTime = time.Hour })
	pushGroup(t, n.Daemon)
	awaitTargets(t, n.Daemon, 4)
	type result struct {
		status int
		answer answerBody
		err    error
	}
	answers := make(chan result, 4)
	for range cap(answers) {
		go func() {
			status, a, err := tryPost(n.Daemon, `{"team":"names","terms":"latin letter","k":50,"timeout_ms":10000}`)
			answers <- result{status, a, err}
		}()
	}
	require.Eventually(t, func() bool { return n.inFlight.Count() == cap(answers) }, waitTimeout, time.Millisecond)
	n.Stop()
	n.Stop()
	for range cap(answers) {
		r := <-answers
		require.NoError(t, r.err)
		require.Equal(t, http.StatusGatewayTimeout, r.status)
		require.Equal(t, string(verdict.CodeHostStops), r.answer.Error.Code)
		require.Equal(t, "may_have_run", r.answer.Error.Verdict)
	}
	require.NoError(t, <-n.ended, "no request was interrupted")
	n.ended = nil
}
