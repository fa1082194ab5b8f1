package intaketest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
)

// clients is a set of clients that respect no limit. Each opens a connection, sends its
// bytes and leaves the connection open. One whose connection is closed opens another
// one, up to attempts times.
type clients struct {
	number int
	send   func(client int, w io.Writer) error
	// receiveBuffer is the size in bytes that is asked for the receive buffers of the
	// clients; 0 for the kernel's choice.
	receiveBuffer int
}

const (
	attempts = 3
	// writeTimeout ends the writes of a client whose bytes are not read.
	writeTimeout = 2 * time.Second
)

// run lets the clients loose on a listener, and checks that the process lives, answers
// an ordinary request while the clients' connections are open, and stays within bounds.
func (p *process) run(listener string, c clients) {
	p.t.Helper()
	address, stop := p.addresses[listener], p.watch()
	conns := make([]net.Conn, c.number)
	var wg sync.WaitGroup
	for i := range c.number {
		wg.Go(func() {
			for range attempts {
				conn, err := c.dial(address)
				if err != nil {
					continue
				}
				if conns[i] != nil {
					_ = conns[i].Close()
				}
				conns[i] = conn
				if c.send(i, deadlineWriter{conn}) == nil {
					return
				}
			}
		})
	}
	wg.Wait()
	p.settle()
	require.NoError(p.t, p.answers(p.ordinary[listener]))
	u := stop()
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
	p.t.Logf("resident %.1f MB, with receive queues %.1f MB, %d descriptors", mb(u.resident), mb(u.withQueues), u.descriptors)
	require.Less(p.t, mb(u.resident), float64(memoryLimitMB), "resident memory in MB")
	require.Less(p.t, mb(u.withQueues), float64(memoryLimitMB), "resident memory and receive queues in MB")
	require.Less(p.t, u.descriptors, descriptorBound, "open descriptors")
}

func (c clients) dial(address string) (net.Conn, error) {
	d := net.Dialer{}
	if c.receiveBuffer > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.receiveBuffer)
			})
			return errors.Join(err, set)
		}
	}
	return d.Dial("tcp", address)
}

func mb(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// deadlineWriter fails a write that is not accepted in time.
type deadlineWriter struct{ net.Conn }

func (w deadlineWriter) Write(b []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(b)
}

// sendAll sends texts one after the other.
func sendAll(w io.Writer, texts ...string) error {
	for _, t := range texts {
		if _, err := io.WriteString(w, t); err != nil {
			return err
		}
	}
	return nil
}

// sendPieces sends a text in writes of a size.
func sendPieces(w io.Writer, text string, size int) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if err := sendAll(w, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// headerLines returns distinct header lines of that many bytes in all, as short as
// possible.
func headerLines(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

func head(method, path, lines string) string {
	host := "intake.example"
	if strings.HasPrefix(path, "/v1/admin/") {
		host = "127.0.0.1" // the only one that this listener takes without tokens
	}
	return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + lines + "\r\n"
}

// longLines are heads of one line without end.
func longLines(number int) clients {
	return clients{number: number, send: func(_ int, w io.Writer) error { return sendAll(w, "GET /one/"+strings.Repeat("a", 120<<10)) }}
}

// endlessHeads are heads of many short lines without end.
func endlessHeads(number int) clients {
	lines := headerLines(120 << 10)
	return clients{number: number, send: func(_ int, w io.Writer) error {
		return sendPieces(w, "GET /one/x HTTP/1.1\r\nHost: intake.example\r\n"+lines, 16<<10)
	}}
}

// largeHeads are complete heads above the limit of any listener, and in each fourth
// client above that of the route plan only.
func largeHeads(number int, path string) clients {
	above, far := headerLines(maxHeaderBytes+1000), headerLines(400<<10)
	return clients{number: number, send: func(client int, w io.Writer) error {
		lines := far
		if client%4 == 0 {
			lines = above
		}
		return sendAll(w, head("GET", path, lines))
	}}
}

// emptyLines are empty lines before a request.
func emptyLines(number int) clients {
	lines := strings.Repeat("\r\n", 128<<10)
	return clients{number: number, send: func(client int, w io.Writer) error {
		if client%2 == 0 {
			// A server that skips empty lines after a request may do so without end.
			if err := sendAll(w, head("POST", "/one/x", "Content-Length: 0\r\n")); err != nil {
				return err
			}
		}
		return sendAll(w, lines)
	}}
}

// bodies are bodies of legal size in pieces. All but each eighth stop one byte short of
// their end.
func bodies(number int, method, path string, size, piece int) clients {
	body := strings.Repeat("b", size)
	return clients{number: number, send: func(client int, w io.Writer) error {
		if err := sendAll(w, head(method, path, fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", size))); err != nil {
			return err
		}
		return sendPieces(w, body[:size-short(client)], piece)
	}}
}

func short(client int) int {
	if client%8 == 0 {
		return 0
	}
	return 1
}

// jsonBodies are like bodies, of one JSON string that is read to its end.
func jsonBodies(number int, method, path string, size int) clients {
	body := `{"team":"` + strings.Repeat("b", size-len(`{"team":""}`)) + `"}`
	return clients{number: number, send: func(client int, w io.Writer) error {
		if err := sendAll(w, head(method, path, fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", size))); err != nil {
			return err
		}
		return sendPieces(w, body[:size-short(client)], 64<<10)
	}}
}

const chunkedHead = "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n"

// chunkedBodies are bodies of legal size in chunks of a size. All but each eighth stop
// before their last chunk.
func chunkedBodies(number int, method, path string, size, chunk int) clients {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("c", chunk))
	body := strings.Repeat(one, size/chunk)
	return clients{number: number, send: func(client int, w io.Writer) error {
		if err := sendAll(w, head(method, path, chunkedHead)); err != nil {
			return err
		}
		if err := sendPieces(w, body, 64<<10); err != nil || short(client) > 0 {
			return err
		}
		return sendAll(w, "0\r\n\r\n")
	}}
}

// chunkExtensions are chunks with extensions without end.
func chunkExtensions(number int, path string) clients {
	long := "1;" + strings.Repeat("e", 1<<20)
	many := strings.Repeat("1;"+strings.Repeat("e", 1000)+"\r\nc\r\n", 300)
	return clients{number: number, send: func(client int, w io.Writer) error {
		if err := sendAll(w, head("POST", path, chunkedHead)); err != nil {
			return err
		}
		if client%2 == 0 {
			return sendPieces(w, long, 64<<10)
		}
		return sendPieces(w, many, 64<<10)
	}}
}

// trailers are bodies whose trailers have no end.
func trailers(number int, path string) clients {
	lines := headerLines(256 << 10)
	return clients{number: number, send: func(_ int, w io.Writer) error {
		return sendAll(w, head("POST", path, chunkedHead), "8\r\ncccccccc\r\n0\r\n", lines)
	}}
}

// exchange sends a request on a connection of its own and returns the status of the
// answer. A request that the target could not take at that moment is repeated.
func (p *process) exchange(text string) int {
	p.t.Helper()
	for range 20 {
		conn, err := net.Dial("tcp", p.addresses["front"])
		require.NoError(p.t, err)
		_ = conn.SetDeadline(time.Now().Add(answerTimeout))
		go func() { _, _ = io.WriteString(conn, text) }()
		var status int
		_, err = fmt.Fscanf(conn, "HTTP/1.1 %d", &status)
		_ = conn.Close()
		require.NoError(p.t, err)
		if status != 503 && status != 502 {
			return status
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 503
}

// pace is the time between the first requests of two clients that want to be served: all at
// once would overload the target, whose refusals are short.
const pace = 20 * time.Millisecond

// unreadAnswers are requests for answers that nobody reads, several on each connection.
func unreadAnswers(number, requests, size int) clients {
	text := strings.Repeat(head("GET", answerPath(size), ""), requests)
	return clients{number: number, receiveBuffer: 4 << 10, send: func(client int, w io.Writer) error {
		time.Sleep(time.Duration(client) * pace)
		return sendAll(w, text)
	}}
}

// unreadRefusals are requests without end on each connection, whose short answers nobody
// reads.
func unreadRefusals(number int) clients {
	text := strings.Repeat(head("GET", "/none", ""), 100)
	return clients{number: number, receiveBuffer: 4 << 10, send: func(_ int, w io.Writer) error {
		for sendAll(w, text) == nil {
		}
		return nil // the connection stays open
	}}
}

// slowlyReadAnswers are requests for answers that are read byte by byte.
func slowlyReadAnswers(number, requests, size int) clients {
	c := unreadAnswers(number, requests, size)
	ask := c.send
	c.send = func(client int, w io.Writer) error {
		go func() {
			one := make([]byte, 1)
			_ = w.(deadlineWriter).SetReadDeadline(time.Time{})
			for {
				if _, err := w.(deadlineWriter).Read(one); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
		return ask(client, w)
	}
	return c
}

// peerBodies are messages of a host, all but each eighth one byte short of their end.
func peerBodies(number, size int) clients {
	body := strings.Repeat("b", size)
	text := head("POST", "/twirp/hawthornlock.gathering.Gathering/Gather", fmt.Sprintf("Content-Type: application/protobuf\r\nContent-Length: %d\r\n", size))
	return clients{number: number, send: func(client int, w io.Writer) error {
		return sendPieces(w, text+body[:size-short(client)], 64<<10)
	}}
}

// both lets two kinds of clients loose, the first ones on even numbers.
func both(a, b clients) clients {
	return clients{number: 2 * min(a.number, b.number), receiveBuffer: max(a.receiveBuffer, b.receiveBuffer), send: func(client int, w io.Writer) error {
		if client%2 == 0 {
			return a.send(client/2, w)
		}
		return b.send(client/2, w)
	}}
}
