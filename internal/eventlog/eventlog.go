// Package eventlog writes numbered log events. Every event is defined once, in
// the package that emits it, and the catalogue in docs/events.md is generated
// from the definitions.
package eventlog

import (
	"fmt"
	"io"
	"log"
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog"
)

// Event is one entry of the catalogue.
type Event struct {
	ID     int           // unique number
	Name   string        // short message, constant text
	Level  zerolog.Level // severity
	Cause  string        // what makes the system emit it
	Action string        // what the operator should do
}

var (
	registryMu sync.Mutex
	registry   = map[int]Event{}
)

// Events of this package, numbers 900 to 999.
var eventLinesDropped = Define(900, zerolog.WarnLevel, "log lines were dropped",
	"The output was not read fast enough.",
	"Read standard output faster, or log less. Requests were not delayed.")

// Define adds an event to the catalogue and returns it. It panics if the
// number is already taken, so that every test of the package fails.
func Define(id int, level zerolog.Level, name, cause, action string) Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	if old, ok := registry[id]; ok {
		panic(fmt.Sprintf("event number %d is defined twice: %q and %q", id, old.Name, name))
	}
	e := Event{ID: id, Name: name, Level: level, Cause: cause, Action: action}
	registry[id] = e
	return e
}

// Catalogue returns all defined events in order of their numbers.
func Catalogue() []Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	out := make([]Event, 0, len(registry))
	for _, e := range registry {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Event) int { return a.ID - b.ID })
	return out
}

// Logger writes events as JSON lines.
type Logger struct {
	log zerolog.Logger
}

// New returns a logger that writes events of at least the given level to w,
// each with the host's name.
func New(w io.Writer, level zerolog.Level, host string) *Logger {
	return &Logger{log: zerolog.New(w).Level(level).With().Timestamp().Str("host", host).Logger()}
}

// Nop returns a logger that discards everything.
func Nop() *Logger { return &Logger{log: zerolog.Nop()} }

// Standard returns a logger of the standard library that writes each line as a
// record of e.
func (l *Logger) Standard(e Event) *log.Logger { return log.New(standardWriter{l, e}, "", 0) }

type standardWriter struct {
	logger *Logger
	event  Event
}

func (w standardWriter) Write(p []byte) (int, error) {
	w.logger.Log(w.event).Str("error", strings.TrimSpace(string(p))).Send()
	return len(p), nil
}

// Log starts the record of an event. The caller adds fields and ends it with
// Send.
func (l *Logger) Log(e Event) *zerolog.Event {
	return l.log.WithLevel(e.Level).Int("event", e.ID).Str(zerolog.MessageFieldName, e.Name)
}
