package peerlink

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against headers that cost more bytes than the messages between hosts, and
// against a request without the header that tells how its body is encoded.
func TestRequestsToHostsHaveFewHeaders(t *testing.T) {
	var got http.Header
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header }))
	defer server.Close()
	links := New()
	defer links.Close()
	r, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("body"))
	require.NoError(t, err)
	r.Header.Set("Content-Type", "application/protobuf")
	r.Header.Set("Accept", "application/protobuf")
	r.Header.Set("Twirp-Version", "v8")
	resp, err := links.Client().Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.Header{"Content-Type": {"application/protobuf"}, "Content-Length": {"4"}}, got)
	require.Equal(t, "v8", r.Header.Get("Twirp-Version"), "the request itself is not changed")
}

// Guards against a response without a valid status that a host takes for an answer.
func TestResponsesOfHostsHaveAStatus(t *testing.T) {
	for status, valid := range map[string]bool{"000": false, "099": false, "101": false, "200": true, "503": true, "600": false} {
		t.Run(status, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = ln.Close() }()
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = c.Write([]byte("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
			links := New()
			defer links.Close()
			resp, err := links.Client().Get("http://" + ln.Addr().String())
			require.Equal(t, valid, err == nil)
			if err == nil {
				require.NoError(t, resp.Body.Close())
			}
		})
	}
}

// Guards against the memory that a response without end takes, and against a response
// of the greatest allowed size that is cut.
func TestResponsesOfHostsAreBounded(t *testing.T) {
	size := maxResponseBody
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 1<<20)
		for sent := 0; sent < size; sent += len(block) {
			if _, err := w.Write(block[:min(len(block), size-sent)]); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	links := New()
	defer links.Close()
	for extra, want := range []error{nil, errResponseTooLarge} {
		size = maxResponseBody + extra
		resp, err := links.Client().Get(server.URL)
		require.NoError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		require.True(t, errors.Is(err, want), err)
		require.EqualValues(t, maxResponseBody, n)
		require.NoError(t, resp.Body.Close())
	}
}
