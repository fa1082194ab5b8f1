package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// caller is a client with one kept connection to a host.
type caller struct {
	f    *fleet
	h    *host
	conn net.Conn
	br   *bufio.Reader
}

func (f *fleet) connect(h *host) (*caller, error) {
	c, err := net.DialTimeout("tcp", f.frontOf(h), time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{f: f, h: h, conn: c, br: bufio.NewReader(c)}, nil
}

// answer is what a client saw.
type answer struct {
	id         string
	sent, done time.Time
	status     int // 0 if the connection ended without a complete answer
	wrong      string
	err        error
	closing    bool // the host announced that it closes the connection
}

// call sends one request and waits for its answer. work is how long a searcher works.
func (c *caller) call(method, id string, work time.Duration, deadline time.Duration) answer {
	a := answer{id: id, sent: time.Now()}
	path := fmt.Sprintf("%sq/%d", sitePrefix, work.Milliseconds())
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, siteHost, id, deadline.Milliseconds())
	if method == http.MethodPost {
		text += "Content-Length: 12\r\n\r\nstatus query"
	} else {
		text += "\r\n"
	}
	_ = c.conn.SetDeadline(a.sent.Add(deadline + time.Second))
	if _, a.err = io.WriteString(c.conn, text); a.err == nil {
		a.err = c.read(&a, method)
	}
	a.done = time.Now()
	c.f.rec.line("client: %s %s at %s, sent %.3f: status %d, error %v %s", method, id, c.h.name, c.f.rec.at(a.sent), a.status, a.err, a.wrong)
	return a
}

func (c *caller) read(a *answer, method string) error {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return err
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	a.status, a.closing = resp.StatusCode, resp.Close
	if a.status == http.StatusOK && (string(data) != body(a.id) || !strings.HasPrefix(resp.Header.Get("X-Response-Signature"), a.id+".")) {
		a.wrong = "wrong answer"
	}
	return nil
}

func (c *caller) close() { _ = c.conn.Close() }
