package confighttp

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/eventlog"
	"github.com/hawthornlock/hawthornlock/internal/routing"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// statusOf maps the code of a refused change to an HTTP status. Other codes map
// to 409: the change is well-formed and does not fit the state.
func statusOf(code verdict.Code) int {
	switch code {
	case config.CodeInvalidChange:
		return http.StatusBadRequest
	case config.CodeNotOwner:
		return http.StatusForbidden
	default:
		return http.StatusConflict
	}
}

func (s *server) pushChange(c call) {
	dryRun, err := boolParam(c.r, "dry_run")
	if err != nil {
		writeError(c.w, http.StatusBadRequest, ErrorDetail{Code: verdict.CodeInvalidRequest, Verdict: verdict.NotRun, Message: err.Error()})
		return
	}
	var m Change
	if !s.decode(c, &m) {
		return
	}
	change, err := m.Decode()
	if err != nil {
		s.refuse(c, m.ID, config.Result{Outcome: config.Refused, Code: verdict.CodeOf(err), Message: err.Error()})
		return
	}
	if !s.assignTeam(c, &change) {
		return
	}
	if change.ID == "" {
		change.ID = change.DerivedID()
	}
	if err := change.Validate(); err != nil {
		s.refuse(c, change.ID, config.Result{Outcome: config.Refused, Code: verdict.CodeOf(err), Message: err.Error()})
		return
	}
	if dryRun {
		s.dryRun(c, change)
		return
	}
	s.propose(c, change)
}

// assignTeam sets the team of a change that names none to that of the token.
// Only the admin team may push for another team, and no token for SystemTeam.
func (s *server) assignTeam(c call, change *config.Change) bool {
	if change.Team == "" {
		change.Team = c.team
	}
	if change.Team == c.team || c.team == config.AdminTeam && change.Team != config.SystemTeam {
		return true
	}
	s.Log.Log(eventUnauthorized).Str("remote", c.r.RemoteAddr).Str("path", c.r.URL.Path).Str("team", c.team).Send()
	writeError(c.w, http.StatusForbidden, ErrorDetail{
		Code: codeForbidden, Verdict: verdict.NotRun,
		Message: fmt.Sprintf("the token belongs to team %q, and the change to team %q", c.team, change.Team),
	})
	return false
}

func (s *server) dryRun(c call, change config.Change) {
	p, err := s.Backend.DryRun(c.r.Context(), change)
	if err != nil {
		writeFailure(c.w, err, "")
		return
	}
	if p.Result.Outcome != config.Accepted {
		s.refuse(c, change.ID, p.Result)
		return
	}
	writeJSON(c.w, http.StatusOK, encodePreview(change.ID, p))
}

// propose submits a change and waits for its outcome. The change may still be
// accepted after the wait has ended, so the error reply names its ID.
func (s *server) propose(c call, change config.Change) {
	ctx, cancel := context.WithTimeout(c.r.Context(), s.ProposeTimeout)
	defer cancel()
	res, err := s.Backend.Propose(ctx, change)
	if err != nil {
		if verdict.Of(err) != verdict.NotRun {
			s.Log.Log(eventOutcomeUnknown).Str("change", change.ID).Str("author", change.Author).Str("team", change.Team).Err(err).Send()
			err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeOf(err), fmt.Sprintf("the change may have been accepted; check the status of change %s, or push the same change again", change.ID))
		}
		writeFailure(c.w, err, change.ID)
		return
	}
	if res.Outcome != config.Accepted {
		s.refuse(c, change.ID, res)
		return
	}
	s.Log.Log(eventAccepted).Str("change", change.ID).Str("author", change.Author).Str("team", change.Team).
		Uint64("revision", res.Revision).Bool("resend", res.Resend).Send()
	writeJSON(c.w, http.StatusOK, encodeResult(change.ID, res))
}

func (s *server) refuse(c call, id string, res config.Result) {
	s.Log.Log(eventRefused).Str("change", id).Str("team", c.team).Str("code", string(res.Code)).Str("reason", res.Message).Send()
	writeError(c.w, statusOf(res.Code), ErrorDetail{
		Code: res.Code, Message: res.Message, Verdict: verdict.NotRun, ChangeID: id, Conflict: encodeConflict(res.Conflict),
	})
}

func (s *server) changeStatus(c call) {
	id := pathVar(c.r, "id")
	res, ok, err := s.Backend.Lookup(c.r.Context(), id)
	switch {
	case err != nil:
		writeFailure(c.w, err, id)
	case !ok:
		writeError(c.w, http.StatusNotFound, ErrorDetail{
			Code: codeNotFound, Verdict: verdict.MayHaveRun, ChangeID: id,
			Message: fmt.Sprintf("change %q is not in the record at revision %d; it may still be in progress, or be older than the record", id, s.Backend.Table().Revision),
		})
	default:
		writeJSON(c.w, http.StatusOK, encodeResult(id, res))
	}
}

func (s *server) history(c call) {
	from, err := uintParam(c.r, "from", latest)
	limit, limitErr := uintParam(c.r, "limit", defaultHistory)
	if err := errors.Join(err, limitErr); err != nil {
		writeError(c.w, http.StatusBadRequest, ErrorDetail{Code: verdict.CodeInvalidRequest, Verdict: verdict.NotRun, Message: err.Error()})
		return
	}
	entries, err := s.entries(c.r.Context(), from, int(min(limit, maxHistory)))
	if err != nil {
		writeFailure(c.w, err, "")
		return
	}
	m := History{Revision: s.Backend.Table().Revision, Entries: []Entry{}}
	for _, e := range entries {
		m.Entries = append(m.Entries, encodeEntry(e))
	}
	writeJSON(c.w, http.StatusOK, m)
}

// latest as the from parameter selects the newest changes.
const latest = math.MaxUint64

func (s *server) entries(ctx context.Context, from uint64, limit int) ([]config.Entry, error) {
	if from != latest {
		return s.Backend.History(ctx, from, limit)
	}
	all, err := s.Backend.History(ctx, 0, config.MaxHistory)
	return all[max(0, len(all)-limit):], err
}

func (s *server) diff(c call) {
	revision, err := strconv.ParseUint(mux.Vars(c.r)["revision"], 10, 64)
	if err != nil {
		writeError(c.w, http.StatusBadRequest, ErrorDetail{Code: verdict.CodeInvalidRequest, Verdict: verdict.NotRun, Message: "the revision is too large"})
		return
	}
	entries, err := s.Backend.History(c.r.Context(), revision, 1)
	if err != nil {
		writeFailure(c.w, err, "")
		return
	}
	if len(entries) == 0 || entries[0].Revision != revision {
		writeFailure(c.w, verdict.New(verdict.NotRun, codeNotFound,
			"revision %d is not in the history; it is unknown, too old, or of a change that hosts made", revision), "")
		return
	}
	writeJSON(c.w, http.StatusOK, encodeDiff(entries[0]))
}

func (s *server) groups(c call) {
	writeJSON(c.w, http.StatusOK, encodeGroups(s.Backend.Table()))
}

func (s *server) selectors(c call) {
	writeJSON(c.w, http.StatusOK, encodeSelectors(s.Backend.Table()))
}

func (s *server) explain(c call) {
	var m Request
	if !s.decode(c, &m) {
		return
	}
	e := s.Backend.Table().Explain(routing.Request{Team: m.Team, Labels: m.Labels, Group: m.Group})
	writeJSON(c.w, http.StatusOK, encodeExplanation(e))
}

func (s *server) targets(c call) {
	table := s.Backend.Table()
	group := c.r.URL.Query().Get("group")
	m := Targets{Revision: table.Revision, Targets: []Target{}}
	for _, t := range s.Backend.Targets() {
		t.Groups = table.GroupsOf(t.Labels)
		if group == "" || slices.Contains(t.Groups, group) {
			m.Targets = append(m.Targets, t)
		}
	}
	writeJSON(c.w, http.StatusOK, m)
}

func (s *server) targetExplanation(c call) {
	name := pathVar(c.r, "target")
	for _, t := range s.Backend.Targets() {
		if t.Target == name {
			writeJSON(c.w, http.StatusOK, explainTarget(s.Backend.Table(), t))
			return
		}
	}
	writeFailure(c.w, verdict.New(verdict.NotRun, codeNotFound, "target %q has not announced itself, or its lease has expired", name), "")
}

func (s *server) hosts(c call) {
	writeJSON(c.w, http.StatusOK, Hosts{Hosts: append([]Host{}, s.Backend.Hosts()...)})
}

func (s *server) drainHost(c call) {
	s.adminAction(c, "host", "drain a host", eventDrain, s.Backend.DrainHost)
}

func (s *server) resumeHost(c call) {
	s.adminAction(c, "host", "resume a host", eventResume, s.Backend.ResumeHost)
}

// adminAction runs action for the host or identity that the path names under
// key. Only the admin team may do this, because a host serves all teams.
func (s *server) adminAction(c call, key, description string, ev eventlog.Event, action func(context.Context, string) error) {
	name := pathVar(c.r, key)
	if !s.decode(c, &struct{}{}) {
		return
	}
	if c.team != config.AdminTeam {
		s.Log.Log(eventUnauthorized).Str("remote", c.r.RemoteAddr).Str("path", c.r.URL.Path).Str("team", c.team).Send()
		writeError(c.w, http.StatusForbidden, ErrorDetail{
			Code: codeForbidden, Verdict: verdict.NotRun,
			Message: fmt.Sprintf("only team %q may %s", config.AdminTeam, description),
		})
		return
	}
	s.Log.Log(ev).Str(key, name).Str("team", c.team).Send()
	ctx, cancel := context.WithTimeout(c.r.Context(), s.ProposeTimeout)
	defer cancel()
	if err := action(ctx, name); err != nil {
		writeFailure(c.w, err, "")
		return
	}
	writeJSON(c.w, http.StatusAccepted, Name{Name: name})
}

func (s *server) voters(c call) {
	voters, err := s.Backend.Voters()
	if err != nil {
		writeFailure(c.w, err, "")
		return
	}
	writeJSON(c.w, http.StatusOK, Voters{Voters: append([]Voter{}, voters...)})
}

func (s *server) removeVoter(c call) {
	s.adminAction(c, "identity", "remove a voter", eventRemoveVoter, s.Backend.RemoveVoter)
}

func (s *server) state(c call) {
	writeJSON(c.w, http.StatusOK, s.Backend.State())
}

// pathVar returns an unescaped variable of the path. Routes match the escaped
// path, so that names may contain a slash.
func pathVar(r *http.Request, name string) string {
	escaped := mux.Vars(r)[name]
	if v, err := url.PathUnescape(escaped); err == nil {
		return v
	}
	return escaped
}

func uintParam(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	v, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("parameter %s=%q is not a number", name, text)
	}
	return v, nil
}

func boolParam(r *http.Request, name string) (bool, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return false, nil
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		return false, fmt.Errorf("parameter %s=%q is neither true nor false", name, text)
	}
	return v, nil
}
