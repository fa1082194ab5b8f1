package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
