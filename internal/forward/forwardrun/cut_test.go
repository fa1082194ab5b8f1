package forwardrun

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornlock/hawthornlock/internal/forward"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// cutReplies are whole replies, in which %s stands for the request ID, and whether they
// state where their body ends.
var cutReplies = map[string]struct {
	text   string
	framed bool
}{
	"length":            {okHead + "Content-Length: 16\r\n\r\n" + strings.Repeat("a", 16), true},
	"length first":      {"HTTP/1.1 200 OK\r\nContent-Length: 16\r\nSignature: s\r\nId: %s\r\n\r\n" + strings.Repeat("a", 16), true},
	"length twice":      {"HTTP/1.1 200 OK\r\nContent-Length: 16\r\nSignature: s\r\nId: %s\r\nContent-Length: 16\r\n\r\n" + strings.Repeat("a", 16), true},
	"empty body":        {okHead + "Content-Length: 0\r\n\r\n", true},
	"no content":        {"HTTP/1.1 204 No Content\r\nSignature: s\r\nId: %s\r\n\r\n", true},
	"chunks":            {okHead + "Transfer-Encoding: chunked\r\n\r\n8\r\naaaaaaaa\r\n8\r\naaaaaaaa\r\n0\r\n\r\n", true},
	"chunks, trailer":   {okHead + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n10\r\naaaaaaaaaaaaaaaa\r\n0\r\nA: x\r\n\r\n", true},
	"interim first":     {"HTTP/1.1 102 Processing\r\n\r\n" + okHead + "Content-Length: 16\r\n\r\n" + strings.Repeat("a", 16), true},
	"line feeds only":   {"HTTP/1.1 200 OK\nSignature: s\nId: %s\nContent-Length: 16\n\n" + strings.Repeat("a", 16), true},
	"continued header":  {"HTTP/1.1 200 OK\r\nSignature: s\r\nId: %s\r\nA: x\r\n y\r\nContent-Length: 16\r\n\r\n" + strings.Repeat("a", 16), true},
	"closing":           {okHead + "Connection: close\r\n\r\n" + strings.Repeat("a", 16), false},
	"older protocol":    {"HTTP/1.0 200 OK\r\nSignature: s\r\nId: %s\r\n\r\n" + strings.Repeat("a", 16), false},
	"without a length":  {okHead + "\r\n" + strings.Repeat("a", 16), false},
	"empty, no length":  {okHead + "\r\n", false},
	"length in trailer": {okHead + "Transfer-Encoding: chunked\r\n\r\n10\r\naaaaaaaaaaaaaaaa\r\n0\r\nContent-Length: 16\r\n\r\n", true},
}

// Guards against a reply that its searcher cut off, in the head or in the body, and that
// a caller gets as a whole answer. A request that may run only once must fail without
// the promise that it did not run. Without a length, the end of the connection is the
// end of the body, so only a cut in the head or a reset shows.
func TestReplyThatIsCutOffIsNoAnswer(t *testing.T) {
	for name, c := range cutReplies {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				s := startSearcher(t, func(_ int, id string, conn net.Conn) bool {
					write(conn, strings.ReplaceAll(c.text, "%s", id)[:cut.Load()])
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				e := newEngine(t, map[string][]forward.SearcherSpec{"a": {s.spec("t")}})
				const id = "q"
				text := strings.ReplaceAll(c.text, "%s", id)
				short := len(text) // cuts before it are incomplete
				if !c.framed && !reset {
					short = strings.LastIndex(text, "\r\n\r\n") + len("\r\n\r\n")
				}
				for n := range short {
					cut.Store(int64(n))
					asked := s.count()
					a, err := e.Do(context.Background(), call(id, false))
					require.NotNil(t, err, "%q", text[:n])
					require.Nil(t, a.Reply, "%q", text[:n])
					require.Equal(t, verdict.MayHaveRun, err.Verdict, "%q", text[:n])
					require.Equal(t, asked+1, s.count())
					a, err = e.Do(context.Background(), gatherCall(id, "a"))
					require.NotNil(t, err, "%q", text[:n])
					require.Empty(t, a.Signatures, "%q", text[:n])
				}
				if !reset {
					cut.Store(int64(len(text)))
					_, err := e.Do(context.Background(), call(id, false))
					require.Nil(t, err)
				}
			})
		}
	}
}
