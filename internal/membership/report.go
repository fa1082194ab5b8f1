package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

func (s *State) relaying() bool {
	return s.topology != nil && s.topology.isRelay(s.self.Host)
}

// updateReport summarizes the region of this host, if it is a relay.
func (s *State) updateReport(now time.Time) {
	if !s.relaying() {
		return
	}
	r := RegionReport{Region: s.self.Region, Epoch: s.agreed.Epoch, Seen: s.seen, reporter: s.self.Host}
	for _, m := range s.topology.regions[s.self.Region] {
		if s.isAgreed[m.Host] {
			s.countMember(now, &r, m.Host)
		}
	}
	s.report = r
	s.reportAt = now
}

// ownReport returns the report made at the last tick, with its age as of now.
func (s *State) ownReport(now time.Time) (RegionReport, bool) {
	r := s.report
	r.Age += now.Sub(s.reportAt)
	return r, s.relaying() && r.Region == s.self.Region && !s.reportAt.IsZero()
}

func (s *State) countMember(now time.Time, r *RegionReport, host string) {
	age, applied := time.Duration(0), s.advertised()
	if host != s.self.Host {
		c := s.contacts[host]
		if c == nil || now.Sub(c.echoAt) > reportWindow {
			return
		}
		age, applied = now.Sub(c.echoAt), c.applied
	}
	r.Heard++
	r.Age = max(r.Age, age)
	r.Confirmed += uint32(confirmedCount(applied))
	if s.seenBy(host).Compare(r.Seen) >= 0 {
		r.SawNewest++
	}
	if s.shareEpochOf(host) >= s.agreed.Epoch {
		r.SharesInUse++
	}
}

// reportsFor returns the reports that a heartbeat to a host carries: a relay
// sends the report of its own region to relays of other regions, and those of
// all regions to the hosts of its region.
func (s *State) reportsFor(now time.Time, host string) []RegionReport {
	own, ok := s.ownReport(now)
	if !ok {
		return nil
	}
	if s.topology.isRelay(host) && s.topology.regionOf[host] != s.self.Region {
		return []RegionReport{own}
	}
	return s.bestReports(now)
}

// reportsReceived stores the reports of a heartbeat, one per region and
// reporter. Ages count from the echoed token, so that time in transit makes a
// report look older, never newer.
func (s *State) reportsReceived(c *contact, hb *Heartbeat) {
	if s.topology == nil {
		clear(s.reports)
		return
	}
	for _, r := range hb.Reports[:min(len(hb.Reports), MaxReports)] {
		s.seen = later(s.seen, r.Seen)
		if c.echoAt.IsZero() || r.Age < 0 || r.Age > time.Hour {
			continue
		}
		r.reporter = hb.Host
		at := c.echoAt.Add(-r.Age)
		s.keepReport(r, at)
	}
}

// keepReport stores a report, with the Unix time of its oldest message in Age,
// unless a newer one by the same reporter is stored.
func (s *State) keepReport(r RegionReport, at time.Time) {
	if _, ok := s.reports[r.Region]; !ok && len(s.reports) >= MaxReports {
		return
	}
	r.Age = time.Duration(at.UnixNano())
	if slices.ContainsFunc(s.reports[r.Region], func(o RegionReport) bool {
		return o.reporter == r.reporter && o.Age > r.Age && o.Epoch >= r.Epoch
	}) {
		return
	}
	list := slices.DeleteFunc(s.reports[r.Region], func(o RegionReport) bool {
		_, neighbour := slices.BinarySearch(s.neighbours, o.reporter)
		return o.reporter == r.reporter || !neighbour
	})
	s.reports[r.Region] = append(list, r)
}

// bestReports returns one report per region: of those not older than
// Settings.Staleness, the one of the newest epoch that counts most members.
func (s *State) bestReports(now time.Time) []RegionReport {
	if s.topology == nil {
		return nil
	}
	best := map[string]RegionReport{}
	if own, ok := s.ownReport(now); ok {
		best[own.Region] = own
	}
	for region, list := range s.reports {
		for _, r := range list {
			r.Age = time.Duration(now.UnixNano()) - r.Age
			old, ok := best[region]
			if r.Age <= s.settings.Staleness && (!ok || betterReport(r, old)) {
				best[region] = r
			}
		}
	}
	return slices.SortedFunc(maps.Values(best), func(a, b RegionReport) int { return cmp.Compare(a.Region, b.Region) })
}

func betterReport(a, b RegionReport) bool {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Confirmed, b.Confirmed),
		cmp.Compare(a.Heard, b.Heard), cmp.Compare(b.Age, a.Age)) > 0
}
