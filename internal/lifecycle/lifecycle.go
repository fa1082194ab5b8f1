// Package lifecycle holds the phases of a host from its start to a graceful
// stop: when it is ready, when it refuses new work, and when it may exit.
package lifecycle

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/hawthornlock/hawthornlock/internal/eventlog"
)

// Phase is a stage of a host's lifecycle.
type Phase uint8

// Phases in their order. A drained host stays in Drained and can be resumed; a
// host that stops goes on to Exited.
const (
	Starting Phase = iota // not yet able to serve
	Serving               // ready and taking work
	LameDuck              // not ready, still taking work until the load balancer has noticed
	Refusing              // new work is refused, work in progress ends
	Drained               // no work is left; the host stays up
	Handover              // leadership, leases and connections are given up
	Syncing               // the journal is synced
	Exited                // the process may exit
)

// phaseNames are indexed by Phase.
var phaseNames = [...]string{"starting", "serving", "lame-duck", "refusing", "drained", "handover", "syncing", "exited"}

// String returns the phase as logs and state dumps show it.
func (p Phase) String() string { return phaseNames[p] }

// MarshalText encodes the phase for state dumps.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Options are the periods of a graceful stop.
type Options struct {
	// BalancerLag is how long the load balancer may send work after the host
	// stopped being ready.
	BalancerLag time.Duration
	// ShutdownTimeout bounds the wait for work in progress, from the end of
	// BalancerLag. If it is shorter than the longest deadline, requests may be
	// answered without the result of their work.
	ShutdownTimeout time.Duration
	// AnswerTimeout bounds the wait for the answers of requests that were still in
	// progress when ShutdownTimeout had passed.
	AnswerTimeout time.Duration
	// HandoverTimeout bounds the handover of leadership, leases and connections.
	HandoverTimeout time.Duration
}

// Event is an input of the state.
type Event interface{ isLifecycleEvent() }

// Tick advances the timers. InFlight is the number of requests in progress.
type Tick struct{ InFlight int }

// CanServe reports that the host's configuration allows it to serve, usually
// because a quorum confirmed it. It may be repeated.
type CanServe struct{}

// StopRequested asks for a graceful stop. A second one ends the process as soon as
// the requests in progress have been answered, without a handover.
type StopRequested struct{ InFlight int }

// DrainRequested asks the host to stop taking work and to stay up.
type DrainRequested struct{}

// ResumeRequested ends a drain.
type ResumeRequested struct{}

// HandedOver reports that leadership, leases and connections were given up.
type HandedOver struct{}

// Synced reports that the journal is closed.
type Synced struct{}

func (Tick) isLifecycleEvent()            {}
func (CanServe) isLifecycleEvent()        {}
func (StopRequested) isLifecycleEvent()   {}
func (DrainRequested) isLifecycleEvent()  {}
func (ResumeRequested) isLifecycleEvent() {}
func (HandedOver) isLifecycleEvent()      {}
func (Synced) isLifecycleEvent()          {}

// Effect is an output of the state.
type Effect interface{ isLifecycleEffect() }

// EndRequests asks for an answer to every request in progress by a time: with the
// result of its work if that is there, or else with whether it may have run.
type EndRequests struct{ By time.Time }

// TransferLeadership asks for leadership to be given up while requests end.
type TransferLeadership struct{}

// BeginHandover asks for leadership, leases and connections to be given up.
type BeginHandover struct{}

// SyncJournal asks for the journal to be synced and closed.
type SyncJournal struct{}

// Exit ends the process. Interrupted is the number of requests that it cuts
// off.
type Exit struct{ Interrupted int }

// Log writes a numbered event.
type Log struct {
	Event    eventlog.Event
	Phase    Phase
	InFlight int
}

func (EndRequests) isLifecycleEffect()        {}
func (TransferLeadership) isLifecycleEffect() {}
func (BeginHandover) isLifecycleEffect()      {}
func (SyncJournal) isLifecycleEffect()        {}
func (Exit) isLifecycleEffect()               {}
func (Log) isLifecycleEffect()                {}

// Events of this package, numbers 1000 to 1099.
var (
	EventPhase = eventlog.Define(1000, zerolog.InfoLevel, "host changed phase",
		"The host became ready, was told to drain or stop, or reached the next phase of a drain or stop.",
		"None. A stop ends with the phase exited.")
	EventInterrupted = eventlog.Define(1001, zerolog.WarnLevel, "stop interrupted requests in progress",
		"The process ends although requests have not been answered in the time after the shutdown timeout, or after a second signal.",
		"Look at the load of the machine: such requests are answered at once. Raise -shutdown-timeout above -max-timeout, and send one signal only.")
)

// State is the lifecycle of one host. The control goroutine owns it.
//
// Invariant: new work is accepted only in Serving and LameDuck, and a graceful
// stop reaches Handover only when nothing is in flight or the answer timeout has
// passed.
type State struct {
	opts        Options
	phase       Phase
	since       time.Time
	stopping    bool
	endBy       time.Time // when the requests in progress must be answered, while stopping
	hurried     bool      // a second stop was requested
	canServe    bool
	interrupted int
}

// New returns the state of a host that starts now.
func New(opts Options, now time.Time) *State { return &State{opts: opts, since: now} }

// Phase returns the current phase.
func (s *State) Phase() Phase { return s.phase }

// Ready reports whether the load balancer should send work.
func (s *State) Ready() bool { return s.phase == Serving }

// Accepting reports whether new work is taken.
func (s *State) Accepting() bool { return s.phase == Serving || s.phase == LameDuck }

// Step advances the state by one event.
func (s *State) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		return s.tick(now, ev.InFlight)
	case CanServe:
		s.canServe = true
		if s.phase == Starting {
			return s.enter(now, Serving, 0)
		}
	case StopRequested:
		return s.stop(now, ev.InFlight)
	case DrainRequested:
		return s.drain(now)
	case ResumeRequested:
		return s.resume(now)
	case HandedOver:
		if s.phase == Handover {
			return append(s.enter(now, Syncing, 0), SyncJournal{})
		}
	case Synced:
		if s.phase == Syncing {
			return append(s.enter(now, Exited, 0), Exit{Interrupted: s.interrupted})
		}
	}
	return nil
}

func (s *State) enter(now time.Time, p Phase, inFlight int) []Effect {
	s.phase = p
	s.since = now
	return []Effect{Log{Event: EventPhase, Phase: p, InFlight: inFlight}}
}

func (s *State) tick(now time.Time, inFlight int) []Effect {
	elapsed := now.Sub(s.since)
	switch s.phase {
	case LameDuck:
		if elapsed >= s.opts.BalancerLag {
			return s.refuse(now, inFlight)
		}
	case Refusing:
		return s.endRefusing(now, inFlight)
	case Handover:
		if elapsed >= s.opts.HandoverTimeout {
			return append(s.enter(now, Syncing, inFlight), SyncJournal{})
		}
	}
	return nil
}

// refuse begins to refuse new work.
func (s *State) refuse(now time.Time, inFlight int) []Effect {
	out := s.enter(now, Refusing, inFlight)
	if s.stopping && !s.hurried {
		out = append(out, TransferLeadership{})
	}
	return out
}

func (s *State) endRefusing(now time.Time, inFlight int) []Effect {
	if inFlight > 0 && (!s.stopping || now.Sub(s.endBy) < s.opts.AnswerTimeout) {
		return nil
	}
	if !s.stopping {
		return s.enter(now, Drained, 0)
	}
	var out []Effect
	if inFlight > 0 {
		s.interrupted = inFlight
		out = append(out, Log{Event: EventInterrupted, Phase: s.phase, InFlight: inFlight})
	}
	if s.hurried {
		return append(append(out, s.enter(now, Exited, inFlight)...), Exit{Interrupted: inFlight})
	}
	return append(append(out, s.enter(now, Handover, inFlight)...), BeginHandover{})
}

// stop begins a graceful stop, or hurries one that has begun.
func (s *State) stop(now time.Time, inFlight int) []Effect {
	if s.stopping {
		return s.hurry(now, inFlight)
	}
	s.stopping = true
	s.endBy = now.Add(s.opts.BalancerLag + s.opts.ShutdownTimeout)
	out := []Effect{EndRequests{By: s.endBy}}
	switch s.phase {
	case Serving:
		return append(out, s.enter(now, LameDuck, inFlight)...)
	case Starting, Drained:
		return append(out, s.refuse(now, inFlight)...)
	case Refusing: // by a drain
		return append(out, TransferLeadership{})
	}
	return out
}

// hurry ends the requests in progress now, and the process at the next tick, when new
// requests are refused.
func (s *State) hurry(now time.Time, inFlight int) []Effect {
	if s.hurried || s.phase == Exited {
		return nil
	}
	s.hurried = true
	switch s.phase {
	case Handover, Syncing: // all requests have ended
		return append(s.enter(now, Exited, inFlight), Exit{Interrupted: s.interrupted})
	}
	s.endBy = now
	out := []Effect{EndRequests{By: now}}
	if s.phase != Refusing {
		out = append(out, s.refuse(now, inFlight)...)
	}
	return out
}

func (s *State) drain(now time.Time) []Effect {
	switch s.phase {
	case Serving:
		return s.enter(now, LameDuck, 0)
	case Starting:
		return s.refuse(now, 0)
	}
	return nil
}

func (s *State) resume(now time.Time) []Effect {
	if s.stopping || s.phase == Starting || s.phase == Serving {
		return nil
	}
	if !s.canServe {
		return s.enter(now, Starting, 0)
	}
	return s.enter(now, Serving, 0)
}
