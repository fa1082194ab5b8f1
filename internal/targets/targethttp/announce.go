package targethttp

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/hawthornlock/hawthornlock/internal/intake"
	"github.com/hawthornlock/hawthornlock/internal/targets"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// MaxAnnouncementBytes bounds the body of an announcement. Two index
// snapshots with 4096 shards each, whose 40-byte names are listed in the layout
// and in the holdings, take 700 KB.
const MaxAnnouncementBytes = 1 << 20

// CodeTooLarge is the code of an announcement of more than MaxAnnouncementBytes.
const CodeTooLarge verdict.Code = "announcement_too_large"

type announcementJSON struct {
	Target          string              `json:"target"`
	Incarnation     uint64              `json:"incarnation"`
	Seq             uint64              `json:"seq"`
	Address         string              `json:"address"`
	FailureDomain   string              `json:"failure_domain"`
	Labels          map[string]string   `json:"labels"`
	ConnectionLimit int                 `json:"connection_limit"`
	State           string              `json:"state"`
	Searchers       []searcherJSON      `json:"searchers"`
	IndexSnapshots  []indexSnapshotJSON `json:"index_snapshots"`
	Reported        reportedJSON        `json:"reported"`
}

type searcherJSON struct {
	Searcher string        `json:"searcher"`
	Slots    int           `json:"slots"`
	Holds    []holdingJSON `json:"holds"`
}

type holdingJSON struct {
	IndexSnapshot string   `json:"index_snapshot"`
	Shards        []string `json:"shards"`
}

type indexSnapshotJSON struct {
	IndexSnapshot string   `json:"index_snapshot"`
	Layout        []string `json:"layout"`
	Generation    uint64   `json:"generation"`
}

type reportedJSON struct {
	Healthy bool    `json:"healthy"`
	Load    float64 `json:"load"`
}

// DecodeAnnouncement decodes the JSON form of an announcement without validating
// it. It rejects unknown fields, trailing data and bodies of more than
// MaxAnnouncementBytes.
func DecodeAnnouncement(body io.Reader) (targets.Announcement, error) {
	limited := &io.LimitedReader{R: body, N: MaxAnnouncementBytes + 1}
	dec := json.NewDecoder(limited)
	dec.DisallowUnknownFields()
	var msg announcementJSON
	err := dec.Decode(&msg)
	if err == nil {
		err = expectEnd(dec)
	}
	if limited.N <= 0 {
		return targets.Announcement{}, verdict.New(verdict.NotRun, CodeTooLarge, "announcement is larger than %d bytes", MaxAnnouncementBytes)
	}
	var refused *verdict.Error // by a limit on clients
	if errors.As(err, &refused) {
		return targets.Announcement{}, refused
	}
	if err != nil {
		return targets.Announcement{}, verdict.Wrap(err, verdict.NotRun, targets.CodeInvalid, "decode announcement")
	}
	return msg.announcement()
}

func expectEnd(dec *json.Decoder) error {
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON object")
	}
	return nil
}

func (m *announcementJSON) announcement() (targets.Announcement, error) {
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return targets.Announcement{}, verdict.Wrap(err, verdict.NotRun, targets.CodeInvalid, "decode address")
	}
	a := targets.Announcement{
		Target:          m.Target,
		Incarnation:     m.Incarnation,
		Seq:             m.Seq,
		Address:         address,
		FailureDomain:   m.FailureDomain,
		Labels:          m.Labels,
		ConnectionLimit: m.ConnectionLimit,
		Phase:           targets.Phase(m.State),
		Reported:        targets.Reported{Healthy: m.Reported.Healthy, Load: m.Reported.Load},
	}
	for _, s := range m.Searchers {
		a.Searchers = append(a.Searchers, s.searcher())
	}
	for _, s := range m.IndexSnapshots {
		a.IndexSnapshots = append(a.IndexSnapshots, targets.IndexSnapshot{Name: s.IndexSnapshot, Generation: s.Generation, Layout: s.Layout})
	}
	return a, nil
}

func (s *searcherJSON) searcher() targets.Searcher {
	out := targets.Searcher{Name: s.Searcher, Slots: s.Slots}
	for _, h := range s.Holds {
		out.Holds = append(out.Holds, targets.Holding{IndexSnapshot: h.IndexSnapshot, Shards: h.Shards})
	}
	return out
}

// Status returns the HTTP status for the error of a rejected announcement.
func Status(err error) int {
	switch verdict.CodeOf(err) {
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case targets.CodeInvalid:
		return http.StatusBadRequest
	case targets.CodeStale, targets.CodeLayoutChanged, targets.CodeAddressTaken:
		return http.StatusConflict
	case intake.CodeStalled:
		return http.StatusRequestTimeout
	case verdict.CodeUnavailable, intake.CodeMemory:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// AnnounceHandler returns a handler that decodes announcements and passes them to
// accept, which hands them to the control goroutine. It replies with 204, or with
// an error in the JSON form that all interfaces share.
func AnnounceHandler(accept func(*http.Request, targets.Announcement) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a, err := DecodeAnnouncement(req.Body)
		if err == nil {
			err = accept(req, a)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

type errorJSON struct {
	Error errorBodyJSON `json:"error"`
}

type errorBodyJSON struct {
	Code    verdict.Code    `json:"code"`
	Message string          `json:"message"`
	Verdict verdict.Verdict `json:"verdict"`
}

func writeError(w http.ResponseWriter, err error) {
	body := errorJSON{Error: errorBodyJSON{Code: verdict.CodeOf(err), Message: err.Error(), Verdict: verdict.Of(err)}}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(Status(err))
	_ = json.NewEncoder(w).Encode(body) // an error means that the connection is gone
}
