// Package promoter decides when to replace the primary of a database group,
// by which instance, and in which steps.
//
// A promotion first raises the term on a majority of the instances, which
// fences the old primary, and then makes the most advanced instance of that
// majority lead the term. Every step carries the term, so the instances refuse a
// promoter that was paused between two steps or that races another one. An
// unfinished promotion is completed by the next promoter in a later term.
package promoter

import (
	"fmt"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Promoter holds the state of the promotion of one group.
//
// A Promoter is not safe for concurrent use.
type Promoter struct {
	config Config

	phase   Phase
	since   time.Time
	retryAt time.Time

	suspect      string
	observations map[string]bool
	term         uint64
	acks         map[string]tracker.Status
	reachable    int
	majorityAt   time.Time
	target       string
	writesPaused bool
	reason       string
	completed    uint64
}

// New returns a Promoter in the phase Watching.
func New(config Config) *Promoter {
	return &Promoter{config: config}
}

// Phase returns the current phase.
func (p *Promoter) Phase() Phase {
	return p.phase
}

// Reason returns a one-line explanation of the last decision.
func (p *Promoter) Reason() string {
	return p.reason
}

// Completed returns the number of promotions that this Promoter completed.
func (p *Promoter) Completed() uint64 {
	return p.completed
}

// Step advances the state machine and returns the actions to take at now.
func (p *Promoter) Step(now time.Time, v View) []Action {
	switch p.phase {
	case Observing:
		return p.observe(now, v)
	case Draining:
		return p.drain(now, v)
	case Raising:
		return p.raise(now, v)
	case Promoting:
		return p.promote(now)
	default:
		return p.watch(now, v)
	}
}

// watch checks whether the primary is unresponsive, missing or leaving.
func (p *Promoter) watch(now time.Time, v View) []Action {
	primary, ok := v.primary()
	if ok && v.countAboveTerm(primary.Status.Term) < v.majority() {
		return p.watchPrimary(now, v, primary)
	}
	if v.countHeardWithin(now, p.config.SuspectAfter) < v.majority() || now.Before(p.retryAt) {
		return nil
	}
	if unknown, ok := v.unknownInstance(); ok {
		p.reason = fmt.Sprintf("no primary is known, and %s never answered", unknown.ID)
		return p.askObservers(now, unknown)
	}
	return p.startPromotion(now, v, "no instance leads the latest term")
}

// askObservers asks the observers whether they can reach an instance.
func (p *Promoter) askObservers(now time.Time, i InstanceView) []Action {
	p.suspect = i.ID
	p.observations = map[string]bool{}
	p.setPhase(now, Observing)
	return []Action{{Kind: AskObservers, Instance: i.ID, Term: i.Status.Term, Reason: p.reason}}
}

// watchPrimary checks whether a known primary is unresponsive or leaving.
func (p *Promoter) watchPrimary(now time.Time, v View, primary InstanceView) []Action {
	silent := now.Sub(primary.LastResponse)
	switch {
	case now.Before(p.retryAt):
		return nil
	case silent >= p.config.SuspectAfter-p.config.ObserveTimeout:
		if v.countHeardWithin(now, p.config.SuspectAfter) < v.majority() {
			return nil
		}
		p.reason = fmt.Sprintf("primary %s silent for %s", primary.ID, silent.Round(time.Millisecond))
		return p.askObservers(now, primary)
	case primary.Status.Leaving && v.countHeardWithin(now, p.config.SuspectAfter) > v.majority()-1 && len(v.Instances) > 1:
		p.suspect = primary.ID
		p.writesPaused = true
		p.reason = fmt.Sprintf("primary %s is leaving", primary.ID)
		p.setPhase(now, Draining)
		return []Action{{Kind: PauseWrites, Instance: primary.ID, Reason: p.reason}}
	default:
		return nil
	}
}

// RecordObservation records whether a peer can reach the suspected primary.
func (p *Promoter) RecordObservation(peer, instance string, reachable bool) {
	if p.phase == Observing && instance == p.suspect {
		p.observations[peer] = reachable
	}
}

// observe waits for the observers and follows their majority.
//
// The observers are asked before SuspectAfter has passed, so that their responses
// are available when it has. The replicas count as observers: each reports how
// long ago it last heard from the primary.
func (p *Promoter) observe(now time.Time, v View) []Action {
	for _, i := range v.Instances {
		if i.ID == p.suspect && i.LastResponse.After(p.since) {
			return p.dismissSuspicion(now, "the primary answers again")
		}
	}
	if now.Sub(p.since) < p.config.ObserveTimeout {
		return nil
	}
	yes, no := p.votes(now, v)
	if yes >= no {
		return p.dismissSuspicion(now, fmt.Sprintf("%d observers reach the primary, %d do not", yes, no))
	}
	return p.startPromotion(now, v, fmt.Sprintf("%s; %d of %d observers do not reach it", p.reason, no, yes+no))
}

// votes counts the observers that reach the suspected primary and those that do not.
//
// The promoter itself does not reach the primary and counts as one of the latter.
func (p *Promoter) votes(now time.Time, v View) (yes, no int) {
	no = 1
	for _, r := range p.observations {
		if r {
			yes++
		} else {
			no++
		}
	}
	for _, i := range v.Instances {
		if i.ID == p.suspect || !i.Known || now.Sub(i.LastResponse) >= p.config.SuspectAfter {
			continue
		}
		if i.Status.SincePrimary+now.Sub(i.LastResponse) < p.config.SuspectAfter-p.config.ObserveTimeout {
			yes++
		} else {
			no++
		}
	}
	return yes, no
}

// dismissSuspicion returns to watching and suspects no primary until Backoff has passed.
func (p *Promoter) dismissSuspicion(now time.Time, reason string) []Action {
	p.reason = reason
	p.retryAt = now.Add(p.config.Backoff)
	p.setPhase(now, Watching)
	return nil
}

// drain waits until a replica has applied the whole log of the leaving primary.
func (p *Promoter) drain(now time.Time, v View) []Action {
	var primary InstanceView
	for _, i := range v.Instances {
		if i.ID == p.suspect {
			primary = i
		}
	}
	caughtUp := false
	for _, i := range v.Instances {
		fresh := i.Known && i.LastResponse.After(p.since.Add(p.config.Grace))
		if i.ID != p.suspect && fresh && !i.Status.Leaving && i.Status.Applied.Offset >= primary.Status.Applied.Offset {
			caughtUp = true
		}
	}
	if primary.LastResponse.After(p.since.Add(p.config.Grace)) && caughtUp {
		return p.startPromotion(now, v, p.reason+"; a replica has caught up")
	}
	if now.Sub(p.since) >= p.config.SwitchoverTimeout {
		p.retryAt = now.Add(p.config.Backoff)
		p.reason += "; no replica caught up in time"
		p.setPhase(now, Watching)
		return p.resumeWrites()
	}
	return nil
}

// startPromotion starts a promotion by raising a new term on all instances.
func (p *Promoter) startPromotion(now time.Time, v View, reason string) []Action {
	p.term = v.maxTerm() + 1
	p.acks = map[string]tracker.Status{}
	p.majorityAt = time.Time{}
	p.reachable = 0
	p.reason = reason
	p.setPhase(now, Raising)
	var actions []Action
	for _, i := range v.Instances {
		if now.Sub(i.LastResponse) < p.config.SuspectAfter && i.Known {
			p.reachable++
		}
		actions = append(actions, Action{Kind: RaiseTerm, Instance: i.ID, Term: p.term, Reason: reason})
	}
	return actions
}

// RecordRaised records that an instance follows a term, with its status at that moment.
func (p *Promoter) RecordRaised(now time.Time, instance string, term uint64, s tracker.Status) {
	if p.phase != Raising || term != p.term || s.Term != term {
		return
	}
	p.acks[instance] = s
}

// raise waits until a majority follows the new term and then promotes the most
// advanced instance.
func (p *Promoter) raise(now time.Time, v View) []Action {
	if now.Sub(p.since) >= p.config.RaiseTimeout {
		return p.fail(now, "no majority follows the new term")
	}
	if len(p.acks) < v.majority() {
		return nil
	}
	if p.majorityAt.IsZero() {
		p.majorityAt = now
	}
	if len(p.acks) < p.reachable && now.Sub(p.majorityAt) < p.config.Grace {
		return nil
	}
	p.target = p.chooseSuccessor(v)
	p.setPhase(now, Promoting)
	reason := fmt.Sprintf("%s; %s is the most advanced of %d at %s", p.reason, p.target, len(p.acks), p.acks[p.target].Applied)
	p.reason = reason
	return []Action{{Kind: PromoteInstance, Instance: p.target, Term: p.term, Reason: reason}}
}

// chooseSuccessor returns the most advanced instance that follows the term.
//
// Of equally advanced instances, one that is leaving is chosen last; the
// round-trip time breaks the remaining ties.
func (p *Promoter) chooseSuccessor(v View) string {
	best := -1
	for n, i := range v.Instances {
		s, ok := p.acks[i.ID]
		if !ok {
			continue
		}
		if best < 0 || preferred(s, i.RoundTrip, p.acks[v.Instances[best].ID], v.Instances[best].RoundTrip) {
			best = n
		}
	}
	return v.Instances[best].ID
}

// preferred reports whether an instance with status s and round-trip time sd is
// preferred to one with status t and round-trip time td.
func preferred(s tracker.Status, sd time.Duration, t tracker.Status, td time.Duration) bool {
	if s.Applied != t.Applied {
		return t.Applied.Before(s.Applied)
	}
	if s.Leaving != t.Leaving {
		return t.Leaving
	}
	return sd < td
}

// RecordPromoted records whether the chosen instance accepted the promotion.
func (p *Promoter) RecordPromoted(now time.Time, instance string, term uint64, ok bool) []Action {
	if p.phase != Promoting || term != p.term || instance != p.target {
		return nil
	}
	if !ok {
		return p.fail(now, "the chosen instance refused the term")
	}
	p.completed++
	p.suspect = ""
	p.setPhase(now, Watching)
	return p.resumeWrites()
}

// promote fails the attempt when the chosen instance does not respond in time.
func (p *Promoter) promote(now time.Time) []Action {
	if now.Sub(p.since) >= p.config.PromoteTimeout {
		return p.fail(now, "the chosen instance did not answer")
	}
	return nil
}

// fail ends a failed attempt. The next one uses a later term.
func (p *Promoter) fail(now time.Time, reason string) []Action {
	p.reason = reason
	p.retryAt = now.Add(p.config.Backoff)
	p.setPhase(now, Watching)
	return p.resumeWrites()
}

// resumeWrites resumes the writes that were paused for a switchover.
func (p *Promoter) resumeWrites() []Action {
	if !p.writesPaused {
		return nil
	}
	p.writesPaused = false
	return []Action{{Kind: ResumeWrites, Reason: p.reason}}
}

// setPhase enters a phase at now.
func (p *Promoter) setPhase(now time.Time, phase Phase) {
	p.phase = phase
	p.since = now
}
