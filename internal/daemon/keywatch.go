package daemon

import "time"

// keyWatchInterval bounds the events about the confirmation of keys to one a second.
const keyWatchInterval = time.Second

// watchKeys logs when this host begins and stops to refuse keyed requests because nothing
// confirms them, until it ends.
func (d *Daemon) watchKeys() {
	ticker := time.NewTicker(keyWatchInterval)
	defer ticker.Stop()
	confirmed := true // a host that starts is not ready yet, which is no event
	for {
		select {
		case <-ticker.C:
		case <-d.ctx.Done():
			return
		}
		s := d.loop.Snapshot()
		if s.Plan == nil || s.Plan.Accounts == nil || s.PlanConfirmedAt.IsZero() || d.keysConfirmed(s) == confirmed {
			continue
		}
		confirmed = !confirmed
		event := eventKeysUnconfirmed
		if confirmed {
			event = eventKeysConfirmed
		}
		d.log.Log(event).Dur("age", d.loop.Now().Sub(s.PlanConfirmedAt)).Uint64("plan", s.Plan.Version).Send()
	}
}
