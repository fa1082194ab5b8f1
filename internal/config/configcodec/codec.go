// Package configcodec encodes changes, results and snapshots of the
// configuration. The first byte of each encoding is its version.
package configcodec

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hawthornlock/hawthornlock/internal/config"
	"github.com/hawthornlock/hawthornlock/internal/routing"
)

// Version is the version that this package writes and the newest it reads.
const Version = 1

// ErrNewerVersion is returned for an encoding of a version that this program
// does not know. Decoding it anyway could lose parts of the configuration.
var ErrNewerVersion = errors.New("config: encoding has a newer version than this program reads")

// ErrMalformed is returned for bytes that are not a valid encoding.
var ErrMalformed = errors.New("config: malformed encoding")

// EncodeChange returns the encoding of a change.
func EncodeChange(c config.Change) ([]byte, error) {
	m := changeToProto(c)
	for i, op := range m.Ops {
		if op.Op == nil {
			return nil, errors.Newf("config: operation %T has no encoding", c.Ops[i])
		}
	}
	return encode(m)
}

// DecodeChange decodes the output of EncodeChange.
func DecodeChange(b []byte) (config.Change, error) {
	var m Change
	if err := decode(b, &m); err != nil {
		return config.Change{}, err
	}
	return changeFromProto(&m)
}

// EncodeResult returns the encoding of a result.
func EncodeResult(r config.Result) ([]byte, error) { return encode(resultToProto(r)) }

// DecodeResult decodes the output of EncodeResult.
func DecodeResult(b []byte) (config.Result, error) {
	var m Result
	if err := decode(b, &m); err != nil {
		return config.Result{}, err
	}
	return resultFromProto(&m)
}

// EncodeState returns the encoding of a snapshot.
func EncodeState(s config.State) ([]byte, error) { return encode(stateToProto(s)) }

// DecodeState decodes the output of EncodeState.
func DecodeState(b []byte) (config.State, error) {
	var m State
	if err := decode(b, &m); err != nil {
		return config.State{}, err
	}
	return stateFromProto(&m)
}

func encode(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend([]byte{Version}, m)
	return b, errors.Wrap(err, "config: encode")
}

func decode(b []byte, m proto.Message) error {
	if len(b) == 0 || b[0] == 0 {
		return errors.Wrap(ErrMalformed, "no version")
	}
	if b[0] > Version {
		return errors.Wrapf(ErrNewerVersion, "version %d", b[0])
	}
	if err := proto.Unmarshal(b[1:], m); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

func timeToProto(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFromProto(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}

func changeToProto(c config.Change) *Change {
	m := &Change{Id: c.ID, Author: c.Author, Team: c.Team, Note: c.Note, Base: c.Base}
	for _, op := range c.Ops {
		m.Ops = append(m.Ops, opToProto(op))
	}
	return m
}

func changeFromProto(m *Change) (config.Change, error) {
	c := config.Change{ID: m.GetId(), Author: m.GetAuthor(), Team: m.GetTeam(), Note: m.GetNote(), Base: m.GetBase()}
	for _, op := range m.GetOps() {
		o, err := opFromProto(op)
		if err != nil {
			return config.Change{}, err
		}
		c.Ops = append(c.Ops, o)
	}
	return c, nil
}

func opToProto(op config.Op) *Op {
	switch op := op.(type) {
	case config.PutGroup:
		return &Op{Op: &Op_PutGroup{groupToProto(op.Group)}}
	case config.DeleteGroup:
		return &Op{Op: &Op_DeleteGroup{op.Name}}
	case config.PutSelector:
		return &Op{Op: &Op_PutSelector{selectorToProto(op.Selector)}}
	case config.DeleteSelector:
		return &Op{Op: &Op_DeleteSelector{op.Name}}
	case config.ForgetHost:
		return &Op{Op: &Op_ForgetHost{op.Host}}
	case config.SetMembers:
		return &Op{Op: &Op_SetMembers{&Members{Epoch: op.Epoch, Hosts: op.Members, Base: uint32(op.Base)}}}
	case config.AddLayout:
		return &Op{Op: &Op_AddLayout{layoutToProto(config.Layout{
			Group: op.Group, IndexSnapshot: op.IndexSnapshot, Generation: op.Generation, Shards: op.Layout,
		})}}
	case config.RemoveLayout:
		return &Op{Op: &Op_RemoveLayout{&SnapshotName{Group: op.Group, IndexSnapshot: op.IndexSnapshot}}}
	default:
		return &Op{}
	}
}

func opFromProto(m *Op) (config.Op, error) {
	switch op := m.Op.(type) {
	case *Op_PutGroup:
		g, err := groupFromProto(op.PutGroup)
		return config.PutGroup{Group: g}, err
	case *Op_DeleteGroup:
		return config.DeleteGroup{Name: op.DeleteGroup}, nil
	case *Op_PutSelector:
		return config.PutSelector{Selector: selectorFromProto(op.PutSelector)}, nil
	case *Op_DeleteSelector:
		return config.DeleteSelector{Name: op.DeleteSelector}, nil
	case *Op_ForgetHost:
		return config.ForgetHost{Host: op.ForgetHost}, nil
	case *Op_SetMembers:
		return config.SetMembers{Epoch: op.SetMembers.GetEpoch(), Members: op.SetMembers.GetHosts(), Base: int(op.SetMembers.GetBase())}, nil
	case *Op_AddLayout:
		l := layoutFromProto(op.AddLayout)
		return config.AddLayout{Group: l.Group, IndexSnapshot: l.IndexSnapshot, Generation: l.Generation, Layout: l.Shards}, nil
	case *Op_RemoveLayout:
		return config.RemoveLayout{Group: op.RemoveLayout.GetGroup(), IndexSnapshot: op.RemoveLayout.GetIndexSnapshot()}, nil
	default:
		return nil, errors.Wrap(ErrMalformed, "operation without a kind")
	}
}

func groupToProto(g routing.Group) *Group {
	return &Group{Name: g.Name, Team: g.Team, Match: g.Match, Priority: uint32(g.Priority), Limits: &Limits{
		QueueLength:       int64(g.Limits.QueueLength),
		TeamConcurrency:   int64(g.Limits.TeamConcurrency),
		CallerConcurrency: int64(g.Limits.CallerConcurrency),
		HedgePermille:     int64(g.Limits.HedgePermille),
		MaxEjectedPercent: int64(g.Limits.MaxEjectedPercent),
		DefaultTimeoutMs:  int64(g.Limits.DefaultTimeoutMSec),
	}}
}

func groupFromProto(m *Group) (routing.Group, error) {
	if m.GetPriority() > uint32(routing.PriorityLow) {
		return routing.Group{}, errors.Wrapf(ErrMalformed, "priority %d", m.GetPriority())
	}
	return routing.Group{
		Name: m.GetName(), Team: m.GetTeam(), Match: m.GetMatch(), Priority: routing.Priority(m.GetPriority()),
		Limits: routing.Limits{
			QueueLength:        int(m.GetLimits().GetQueueLength()),
			TeamConcurrency:    int(m.GetLimits().GetTeamConcurrency()),
			CallerConcurrency:  int(m.GetLimits().GetCallerConcurrency()),
			HedgePermille:      int(m.GetLimits().GetHedgePermille()),
			MaxEjectedPercent:  int(m.GetLimits().GetMaxEjectedPercent()),
			DefaultTimeoutMSec: int(m.GetLimits().GetDefaultTimeoutMs()),
		},
	}, nil
}

func selectorToProto(s routing.Selector) *Selector {
	return &Selector{Name: s.Name, Owner: s.Owner, Team: s.Team, Match: s.Match, Group: s.Group}
}

func selectorFromProto(m *Selector) routing.Selector {
	return routing.Selector{Name: m.GetName(), Owner: m.GetOwner(), Team: m.GetTeam(), Match: m.GetMatch(), Group: m.GetGroup()}
}

func layoutToProto(l config.Layout) *Layout {
	return &Layout{Group: l.Group, IndexSnapshot: l.IndexSnapshot, Generation: l.Generation, Shards: l.Shards}
}

func layoutFromProto(m *Layout) config.Layout {
	return config.Layout{Group: m.GetGroup(), IndexSnapshot: m.GetIndexSnapshot(), Generation: m.GetGeneration(), Shards: m.GetShards()}
}
