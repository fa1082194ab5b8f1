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

// peerFactor is how many connections other hosts may have for each of the callers'. Hosts
// keep a few to each other, most of them idle, and a gatherer has some from every host.
const peerFactor = 2

// peerReceiveBuffer is the size in bytes that is asked for the receive buffers of
// connections of other hosts. They send the whole configuration between regions, where
// 128 KB in flight are 6 MB a second at a round trip of 20 ms.
const peerReceiveBuffer = 128 << 10

const wholePermille = 1000

func (d *Daemon) intakeSettings() intake.Settings {
	s := d.settings.Intake
	return intake.Settings{MemoryLimit: d.settings.MemoryLimit, Memory: s.Memory, MemoryPermille: s.MemoryPermille, AddressPermille: s.AddressPermille}
}

func (d *Daemon) newIntake() *intakerun.Gate {
	s := d.settings.Intake
	return intakerun.New(intakerun.Config{Limits: intake.LimitsOf(d.intakeSettings()), BodyStall: s.BodyStall, AnswerStall: s.AnswerStall}, d.log)
}

// peerIntakeSettings returns the limits on other hosts. One host may use all of them: a
// relay speaks for many.
func (d *Daemon) peerIntakeSettings() intake.Settings {
	s := d.settings.Intake
	return intake.Settings{MemoryLimit: d.settings.MemoryLimit, Memory: s.PeerMemory, Connections: s.PeerConnections, MemoryPermille: wholePermille, AddressPermille: wholePermille}
}

// newPeerIntake returns the limits on what arrives at the listener for other hosts. They
// are kept apart from those on clients, so that neither can take the other's room.
func (d *Daemon) newPeerIntake() *intakerun.Gate {
	s := d.settings.Intake
	limits := intake.LimitsOf(d.peerIntakeSettings())
	limits.ListenerMemory = limits.Memory
	return intakerun.New(intakerun.Config{Limits: limits, BodyStall: s.BodyStall, AnswerStall: s.AnswerStall, ReceiveBuffer: peerReceiveBuffer}, d.log)
}

// gateOf returns the limits that apply to a listener.
func (d *Daemon) gateOf(listener string) *intakerun.Gate {
	if listener == "peer" {
		return d.peerIntake
	}
	return d.intake
}

// connectionsOf returns the limits on the connections of a listener.
func (d *Daemon) connectionsOf(listener string) intake.ListenerLimits {
	s, set := d.intakeSettings(), d.settings.Intake
	switch listener {
	case "peer":
		s = d.peerIntakeSettings()
		if s.Connections == 0 {
			s.Connections = peerFactor * intake.ConnectionsOf(s, 1).Connections
		}
		return intake.ConnectionsOf(s, 1)
	case "caller":
		s.Connections = set.CallerConnections
		return intake.ConnectionsOf(s, 1)
	default:
		s.Connections = set.ControlConnections
		return intake.ConnectionsOf(s, controlDivisor)
	}
}

// limitIntake applies the limits on clients and other hosts to a server and its listener.
func (d *Daemon) limitIntake(name string, server *http.Server) {
	d.served[name] = d.gateOf(name).Listener(name, d.listeners[name], d.connectionsOf(name))
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
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: "peer_intake_memory_bytes", Help: "Memory that messages of other hosts in progress are charged."}, func() float64 { return float64(d.peerIntake.Memory()) }),
	}
	for _, k := range intakerun.Kinds() {
		out = append(out, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "intake_refused_total", Help: "Requests and connections of clients that were refused, by kind: memory, stalled or connections before a request ran, unread while its answer was written.",
			ConstLabels: prometheus.Labels{labelKind: k.String()},
		}, func() float64 { return float64(d.intake.Refused(k)) }))
		out = append(out, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "peer_intake_refused_total", Help: "The same of other hosts.",
			ConstLabels: prometheus.Labels{labelKind: k.String()},
		}, func() float64 { return float64(d.peerIntake.Refused(k)) }))
	}
	for name := range d.listeners {
		out = append(out, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "intake_connections", Help: "Connections of clients and other hosts, by listener.",
			ConstLabels: prometheus.Labels{"listener": name},
		}, func() float64 { return float64(d.gateOf(name).Connections(name)) }))
	}
	return out
}
