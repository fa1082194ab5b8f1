package intakerun_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/intake"
	"github.com/hawthornlock/hawthornlock/internal/intake/intakerun"
)

// Measures what the gate adds to a small request over loopback.
func BenchmarkSmallRequest(b *testing.B) {
	for _, limited := range []bool{false, true} {
		name := map[bool]string{false: "server alone", true: "with the gate"}[limited]
		b.Run(name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
			serving := net.Listener(ln)
			if limited {
				gate := intakerun.New(intakerun.Config{Limits: intake.Limits{Memory: 1 << 20, ListenerMemory: 1 << 20, AddressMemory: 1 << 20}, AnswerStall: time.Hour}, eventlog.Nop())
				serving = gate.Listener("caller", ln, manyConnections)
				server.Handler, server.ConnState, server.ConnContext = intakerun.Handler(server.Handler), intakerun.StateChanged, intakerun.ConnContext
			}
			go func() { _ = server.Serve(serving) }()
			defer server.Close()
			b.ReportAllocs()
			for b.Loop() {
				resp, err := http.Get("http://" + ln.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}
