package quotarpc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hawthornlock/hawthornlock/internal/quota"
)

type granting struct{}

func (granting) Acquire(context.Context, *AcquireRequest) (*AcquireReply, error) {
	return EncodeReply(quota.Reply{Outcome: quota.Granted, Tokens: 1}), nil
}

// BenchmarkAsk measures one message and its reply over loopback, both ends together.
func BenchmarkAsk(b *testing.B) {
	server := httptest.NewServer(NewQuotaServer(granting{}))
	defer server.Close()
	client := &http.Client{}
	for b.Loop() {
		if _, err := Ask(b.Context(), client, server.URL, quota.Request{Account: "account", Plan: 7, Needed: 1}); err != nil {
			b.Fatal(err)
		}
	}
}
