package daemon

import (
	"context"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/control"
	"github.com/hawthornlock/hawthornlock/internal/control/controlcodec"
	"github.com/hawthornlock/hawthornlock/internal/proposals"
	"github.com/hawthornlock/hawthornlock/internal/routeplan"
	"github.com/hawthornlock/hawthornlock/internal/routeplan/plancodec"
	"github.com/hawthornlock/hawthornlock/internal/routeplan/planrpc"
	"github.com/hawthornlock/hawthornlock/internal/verdict"
)

// planAttemptTimeout bounds the submission of a route plan to one host. A stalled
// leader does not answer, and an operator waits one second for a host. Plans are
// ordered by version, so submitting one twice has no further effect.
const planAttemptTimeout = 400 * time.Millisecond

// SubmitPlan submits the text of a route plan. It returns once the plan is on
// the disks of a majority of the voters.
func (d *Daemon) SubmitPlan(ctx context.Context, source []byte) (routeplan.Result, error) {
	doc, err := plancodec.NewDocument(source, d.adapter.Plans)
	if err == nil && doc.Version > d.planVersion() {
		err = doc.Plan.ValidateNew()
	}
	if err != nil {
		return routeplan.Result{}, err
	}
	data, err := d.submit(ctx, proposals.KindPlan, controlcodec.EncodePlan(time.Now(), doc), planAttemptTimeout)
	if err != nil {
		return routeplan.Result{}, err
	}
	return plancodec.DecodeResult(data)
}

// planVersion returns the version of the route plan in force at this host, 0 before
// the first one.
func (d *Daemon) planVersion() uint64 {
	if plan := d.Plan(); plan != nil {
		return plan.Version
	}
	return 0
}

// ReadPlan returns the route plan in force, confirmed by a majority of the
// voters after the call began. It is nil before the first plan.
func (d *Daemon) ReadPlan(ctx context.Context) (*routeplan.Document, error) {
	result, err := d.read(ctx, control.PlanQuery{}, func(ctx context.Context, baseURL string) (any, error) {
		m, err := planrpc.NewPlansProtobufClient(baseURL, d.links.Client()).Read(ctx, &planrpc.ReadRequest{TimeoutMs: readAttemptTimeout.Milliseconds()})
		if err != nil {
			return nil, err
		}
		if err := failureOf(m.GetFailure()); err != nil {
			d.setLeaderHint(m.GetFailure().GetLeaderHost())
			return nil, err
		}
		if m.GetVersion() == 0 {
			return (*routeplan.Document)(nil), nil
		}
		return plancodec.Decode(m.GetPlan(), d.adapter.Plans)
	})
	if err != nil {
		return nil, err
	}
	doc, ok := result.(*routeplan.Document)
	if !ok {
		return nil, verdict.New(verdict.Ran, verdict.CodeInternal, "the log returned a %T for a route plan", result)
	}
	return doc, nil
}

type planService struct{ d *Daemon }

// Read returns the route plan in force if this host leads the log.
func (s *planService) Read(ctx context.Context, m *planrpc.ReadRequest) (*planrpc.ReadReply, error) {
	ctx, cancel := readContext(ctx, m.GetTimeoutMs())
	defer cancel()
	result, err := s.d.readHere(ctx, control.PlanQuery{})
	if err != nil {
		return &planrpc.ReadReply{Failure: s.d.encodeFailure(err)}, nil
	}
	doc, _ := result.(*routeplan.Document)
	if doc == nil {
		return &planrpc.ReadReply{}, nil
	}
	return &planrpc.ReadReply{Version: doc.Version, Plan: doc.Encoded}, nil
}
