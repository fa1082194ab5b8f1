package intaketest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each test guards against a process that uses more memory or descriptors than its
// settings allow, ends, or no longer answers an ordinary request. They run one at a time.

// Guards against request lines without end at the platform's callers' listener.
func TestPlatformLongLines(t *testing.T) { startPlatform(t).run("front", longLines(400)) }

// Guards against heads of many lines without end, whose maps take many times their bytes.
func TestPlatformEndlessHeads(t *testing.T) { startPlatform(t).run("front", endlessHeads(150)) }

// Guards against complete heads over the limit.
func TestPlatformLargeHeads(t *testing.T) {
	startPlatform(t).run("front", largeHeads(150, "/one/x"))
}

// Guards against empty lines without end before a request.
func TestPlatformEmptyLines(t *testing.T) { startPlatform(t).run("front", emptyLines(150)) }

// Guards against many bodies of legal size that are sent whole or stop just short of their end.
func TestPlatformLargeBodies(t *testing.T) {
	startPlatform(t).run("front", bodies(300, "POST", "/one/x", maxBodyBytes, maxBodyBytes))
}

// Guards against many bodies of legal size that are sent piece by piece.
func TestPlatformBodiesInPieces(t *testing.T) {
	startPlatform(t).run("front", bodies(300, "POST", "/one/x", maxBodyBytes, 4<<10))
}

// Guards against many bodies of legal size in large chunks.
func TestPlatformLargeChunks(t *testing.T) {
	startPlatform(t).run("front", chunkedBodies(300, "POST", "/one/x", maxBodyBytes, 32<<10))
}

// Guards against many bodies in chunks of one byte.
func TestPlatformSmallChunks(t *testing.T) {
	startPlatform(t).run("front", chunkedBodies(300, "POST", "/one/x", maxBodyBytes/2, 1))
}

// Guards against extensions of chunks without end.
func TestPlatformChunkExtensions(t *testing.T) {
	startPlatform(t).run("front", chunkExtensions(100, "/one/x"))
}

// Guards against trailers without end.
func TestPlatformTrailers(t *testing.T) { startPlatform(t).run("front", trailers(100, "/one/x")) }

// Guards against connections without requests that use up the descriptors.
func TestPlatformIdleConnections(t *testing.T) {
	startPlatform(t).run("front", clients{number: 400, send: func(int, io.Writer) error { return nil }})
}

// Guards against large bodies at the targets' and operators' listener.
func TestPlatformControlBodies(t *testing.T) {
	startPlatform(t).run("control", bodies(30, "PUT", "/hawthornlock/config", 4<<20, 64<<10))
}

// Guards against heads without end at the targets' and operators' listener.
func TestPlatformControlHeads(t *testing.T) { startPlatform(t).run("control", endlessHeads(150)) }

// Guards against heads without end at the administration listener.
func TestPlatformAdminHeads(t *testing.T) { startPlatform(t).run("admin", endlessHeads(150)) }

// Guards against heads without end at the product's own callers' listener.
func TestProductEndlessHeads(t *testing.T) { startProduct(t).run("caller", endlessHeads(150)) }

// Guards against large bodies at the product's own callers' listener.
func TestProductLargeBodies(t *testing.T) {
	startProduct(t).run("caller", jsonBodies(250, "POST", "/v1/orders", 448<<10))
}

// Guards against large chunked bodies at the product's own callers' listener.
func TestProductLargeChunks(t *testing.T) {
	startProduct(t).run("caller", chunkedBodies(250, "POST", "/v1/query", 448<<10, 32<<10))
}

// Guards against large announcements at the product's own targets' listener.
func TestProductAnnouncements(t *testing.T) {
	startProduct(t).run("target", jsonBodies(150, "POST", "/v1/announce", 1<<20))
}

// Guards against large bodies at the administration listener.
func TestProductAdminBodies(t *testing.T) {
	startProduct(t).run("admin", jsonBodies(100, "POST", "/v1/admin/changes", 1<<20))
}

// Guards against answers that nobody reads, which hold the memory for replies that
// others need.
func TestPlatformAnswersNobodyReads(t *testing.T) {
	p := startPlatform(t)
	p.ordinary["front"] = p.ordinary["answers"]
	p.run("front", unreadAnswers(200, 60, 64<<10))
}

// Guards against answers that nobody reads on so many connections that no other caller gets
// one.
func TestPlatformRefusalsNobodyReads(t *testing.T) {
	startPlatform(t).run("front", unreadRefusals(400))
}

// Guards against answers that are read byte by byte.
func TestPlatformAnswersReadSlowly(t *testing.T) {
	p := startPlatform(t)
	p.ordinary["front"] = p.ordinary["answers"]
	p.run("front", slowlyReadAnswers(200, 60, 64<<10))
}

// Guards against answers that nobody reads beside bodies that stop short of their end.
func TestPlatformBodiesBesideAnswersNobodyReads(t *testing.T) {
	p := startPlatform(t)
	p.ordinary["front"] = p.ordinary["answers"]
	p.run("front", both(bodies(150, "POST", "/one/x", maxBodyBytes, 64<<10), unreadAnswers(150, 60, 64<<10)))
}

// Guards against heads without end at the listener for other hosts.
func TestPlatformPeerHeads(t *testing.T) { startPlatform(t).run("peer", endlessHeads(150)) }

// Guards against large bodies at the listener for other hosts.
func TestPlatformPeerBodies(t *testing.T) {
	startPlatform(t).run("peer", peerBodies(60, 4<<20))
}

// Guards against connections that use up the few descriptors of a process, so that it can't
// reach its searchers.
func TestPlatformFewDescriptors(t *testing.T) {
	p, err := startPlatformWith(160)
	if p != nil {
		p.belongsTo(t)
	}
	require.NoError(t, err)
	p.run("front", clients{number: 300, send: func(int, io.Writer) error { return nil }})
}

// Guards against limits that refuse a single request within the limits of the route plan.
func TestSingleRequestAtTheLimits(t *testing.T) {
	p := startPlatform(t)
	// The platform counts the least bytes in which a head can have been sent: one blank
	// less for each line than the usual form has.
	const fixed = "GET /one/x HTTP/1.1\r\nHost:intake.example\r\n\r\n"
	line := "X-Long:" + strings.Repeat("h", maxHeaderBytes-len(fixed)-len("X-Long:\r\n"))
	many := strings.TrimSuffix(headerLines(maxHeaderBytes-len(fixed)-8), "\r\n")
	many += strings.Repeat("v", maxHeaderBytes-len(fixed)-len(many)-len("\r\n"))
	for name, lines := range map[string]string{"one long line": line, "many short lines": many} {
		require.Equal(t, 200, p.exchange(strings.Replace(fixed, "\r\n\r\n", "\r\n"+lines+"\r\n\r\n", 1)), name)
	}
	require.Equal(t, 431, p.exchange(strings.Replace(fixed, "\r\n\r\n", "\r\n"+line+"h\r\n\r\n", 1)))
	body := strings.Repeat("b", maxBodyBytes)
	require.Equal(t, 200, p.exchange(head("POST", "/one/x", fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes))+body))
	require.Equal(t, 413, p.exchange(head("POST", "/one/x", fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes+1))+body+"b"))
	require.Equal(t, 200, p.exchange(head("POST", "/one/x", chunkedHead)+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", maxBodyBytes, body)))
	require.Equal(t, 200, p.exchange(head("POST", "/one/x", chunkedHead)+strings.Repeat("1\r\nc\r\n", maxBodyBytes)+"0\r\n\r\n"))
}

// Guards against limits that well-behaved callers reach: 200 connections at once, each
// with several requests, slow in between.
func TestOrdinaryCallersMeetNoLimit(t *testing.T) {
	p := startPlatform(t)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200, MaxConnsPerHost: 200}}
	defer client.CloseIdleConnections()
	statuses := make(chan string, 600)
	for i := range 200 {
		go func() {
			for range 3 {
				r := request(http.MethodPost, p.addresses["front"], "/one/x", strings.Repeat("b", 1024*(1+i%4)))
				resp, err := client.Do(r)
				if err != nil {
					statuses <- err.Error()
					continue
				}
				text, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				statuses <- fmt.Sprintf("%d %s", resp.StatusCode, text)
			}
		}()
	}
	for range 600 {
		// The route plan may refuse for want of searchers; the limits on what callers
		// send must not.
		status := <-statuses
		require.NotContains(t, status, "intake")
		require.NotContains(t, status, "EOF")
		require.NotContains(t, status, "reset")
	}
}
