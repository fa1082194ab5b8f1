package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hawthornlock/hawthornlock/internal/intake"
	"github.com/hawthornlock/hawthornlock/internal/intake/intakerun"
)

// controlDivisor is the share of the callers' connections that each other listener for
// clients may have.
const controlDivisor = 2

func (d *Daemon) intakeSettings() intake.Settings {
	s := d.settings.Intake
	return intake.Settings{MemoryLimit: d.settings.MemoryLimit, Memory: s.Memory, MemoryPermille: s.MemoryPermille, AddressPermille: s.AddressPermille}
}

func (d *Daemon) newIntake() *intakerun.Gate {
	return intakerun.New(intakerun.Config{Limits: intake.LimitsOf(d.intakeSettings()), BodyStall: d.settings.Intake.BodyStall, AnswerStall: d.settings.Intake.AnswerStall}, d.log)
}

// facesClients reports whether a listener serves clients, which may respect no limit.
// The others serve hosts of the system.
func facesClients(listener string) bool { return listener != "peer" }

// limitIntake applies the limits on clients to a server and its listener.
func (d *Daemon) limitIntake(name string, server *http.Server) {
	if !facesClients(name) {
		return
	}
	s, divisor := d.intakeSettings(), controlDivisor
	s.Connections = d.settings.Intake.ControlConnections
	if name == "caller" {
		s.Connections, divisor = d.settings.Intake.CallerConnections, 1
	}
	d.served[name] = d.intake.Listener(name, d.listeners[name], intake.ConnectionsOf(s, divisor))
	server.Handler = intakerun.Handler(server.Handler)
	server.ReadHeaderTimeout = d.settings.Intake.HeadTimeout
	changed, connContext := server.ConnState, server.ConnContext
	server.ConnState = func(c net.Conn, state http.ConnState) {
		intakerun.StateChanged(c, state)
		if changed != nil {
			changed(c, state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return intakerun.ConnContext(ctx, c)
	}
}

// intakeStats returns collectors of what clients use and of the refusals.
func intakeStats(d *Daemon) []prometheus.Collector {
	out := []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "intake_memory_bytes", Help: "Memory that requests of clients in progress are charged."}, func() float64 { return float64(d.intake.Memory()) }),
	}
	for _, k := range intakerun.Kinds() {
		out = append(out, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "intake_refused_total", Help: "Requests and connections of clients that were refused, by kind: memory, stalled or connections before a request ran, unread while its answer was written.",
			ConstLabels: prometheus.Labels{labelKind: k.String()},
		}, func() float64 { return float64(d.intake.Refused(k)) }))
	}
	for name := range d.listeners {
		if facesClients(name) {
			out = append(out, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Namespace: namespace, Name: "intake_connections", Help: "Connections of clients, by listener.",
				ConstLabels: prometheus.Labels{"listener": name},
			}, func() float64 { return float64(d.intake.Connections(name)) }))
		}
	}
	return out
}
