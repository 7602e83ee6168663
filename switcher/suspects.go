package switcher

import (
	"maps"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/observer"
)

// suspects returns the groups whose primary may have to be replaced. A group of which
// this VM knows nothing but that the platform lists a primary is not one of them, unless
// other VMs cannot reach that primary. The first VMs ask such a primary themselves.
func (s *Switcher) suspects(now time.Time, rank int) []observer.PrimaryView {
	record, contested := s.Announcer.Record(), s.Fleet.Contested(now)
	for group := range contested {
		if rank < maxStoreCheckers && s.Observer.UnservedSince(group).IsZero() {
			s.Controller.RequestStatus(group)
		}
	}
	views := s.Observer.ActivePrimaryViews(now, contested, func(v *observer.PrimaryView) bool {
		if v.Known {
			return v.Leaving || !v.UnservedSince.IsZero() || record.Superseded[v.Group] >= v.Term
		}
		return v.Leaderless || !v.Listed || contested[v.Group]
	})
	suspected := make(map[string]bool, len(views))
	for _, v := range views {
		suspected[v.Group] = true
	}
	for _, since := range []map[string]time.Time{s.leaderlessSince, s.supersededSince} {
		maps.DeleteFunc(since, func(group string, _ time.Time) bool { return !suspected[group] })
	}
	return views
}

// view returns the state of a group as this VM knows it. The instances matter only while the
// primary is leaving.
func (s *Switcher) view(now time.Time, p observer.PrimaryView, rank int, votes func() gossiper.VoteTotals) GroupView {
	v := GroupView{Primary: p.Primary, Known: p.Known, UnservedSince: p.UnservedSince, Rank: rank}
	if p.Leaving {
		v.Instances = s.Observer.Instances(p.Group)
	}
	if p.Known {
		delete(s.leaderlessSince, p.Group)
	} else if _, ok := s.leaderlessSince[p.Group]; !ok {
		s.leaderlessSince[p.Group] = now
	}
	v.LeaderlessSince = s.leaderlessSince[p.Group]
	v.SupersededSince, v.HoldsLease = s.supersededTerm(now, p.Group, p.Term)
	if v.mayBeLost(now) {
		v.LostVotes, v.ServedVotes = votes().Count(p.Group, p.Term)
	}
	return v
}

// supersededTerm returns since when a term is known to be superseded, and whether
// this VM holds the lease.
func (s *Switcher) supersededTerm(now time.Time, group string, term uint64) (since time.Time, holds bool) {
	record := s.Announcer.Record()
	if term == 0 || record.Superseded[group] < term {
		delete(s.supersededSince, group)
		return time.Time{}, false
	}
	if s.supersededSince[group].IsZero() {
		s.supersededSince[group] = now
	}
	return s.supersededSince[group], record.Holder == s.Name
}
