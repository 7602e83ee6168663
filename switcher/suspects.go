package switcher

import (
	"maps"
	"time"

	"github.com/marigoldgauge/marigoldgauge/observer"
)

// suspects returns the groups whose primary may have to be replaced. A group of which
// this VM knows nothing but that the platform lists a primary is not one of them, unless
// other VMs cannot reach that primary. The first VMs ask such a primary themselves.
func (s *Switcher) suspects(now time.Time, rank int) []string {
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
	out := make([]string, 0, len(views))
	suspected := make(map[string]bool, len(views))
	for _, v := range views {
		out = append(out, v.Group)
		suspected[v.Group] = true
	}
	for _, since := range []map[string]time.Time{s.leaderlessSince, s.supersededSince} {
		maps.DeleteFunc(since, func(group string, _ time.Time) bool { return !suspected[group] })
	}
	return out
}

// view returns the state of a group as this VM knows it.
func (s *Switcher) view(now time.Time, group string, rank int) GroupView {
	primary, term, known := s.Observer.Primary(group)
	v := GroupView{Instances: s.Observer.Instances(group), Primary: primary, Known: known, UnservedSince: s.Observer.UnservedSince(group), Rank: rank}
	if known {
		delete(s.leaderlessSince, group)
	} else if _, ok := s.leaderlessSince[group]; !ok {
		s.leaderlessSince[group] = now
	}
	v.LeaderlessSince = s.leaderlessSince[group]
	v.SupersededSince, v.HoldsLease = s.supersededTerm(now, group, term)
	if !v.UnservedSince.IsZero() {
		v.LostVotes, v.ServedVotes = s.Fleet.Votes(now, group, term)
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
