// Package promoter decides when the primary of a database group is replaced,
// by which instance, and in which steps.
//
// A promotion first raises the term on a majority of the instances, which
// fences the old primary, and then makes the most advanced instance of that
// majority lead the term. Every step carries the term: a promoter that was
// paused midway, or that races another one, is refused by the instances. A
// promotion that was left half done is finished by the next promoter in a
// later term.
package promoter

import (
	"fmt"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Promoter is the state of the decision for one group.
//
// A Promoter is not safe for concurrent use.
type Promoter struct {
	config Config

	phase    Phase
	since    time.Time
	notUntil time.Time

	suspect   string
	reached   map[string]bool
	term      uint64
	acks      map[string]tracker.Status
	asked     int
	majority  time.Time
	target    string
	paused    bool
	reason    string
	completed uint64
}

// New returns a Promoter that watches.
func New(config Config) *Promoter {
	return &Promoter{config: config}
}

// Phase returns what the promoter is doing.
func (p *Promoter) Phase() Phase {
	return p.phase
}

// Reason explains the last decision in one line.
func (p *Promoter) Reason() string {
	return p.reason
}

// Completed returns the number of promotions that this promoter finished.
func (p *Promoter) Completed() uint64 {
	return p.completed
}

// Step decides what to do at now.
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

// watch looks for a primary that is silent, missing or leaving.
func (p *Promoter) watch(now time.Time, v View) []Action {
	primary, ok := v.primary()
	if ok && v.raised(primary.Status.Term) < v.majority() {
		return p.watchPrimary(now, v, primary)
	}
	if v.heardSince(now, p.config.SuspectAfter) < v.majority() || now.Before(p.notUntil) {
		return nil
	}
	if hidden, ok := v.hidden(); ok {
		p.reason = fmt.Sprintf("no primary is known, and %s never answered", hidden.ID)
		return p.suspectPrimary(now, hidden)
	}
	return p.begin(now, v, "no instance leads the latest term")
}

// suspectPrimary asks the observers whether they reach an instance.
func (p *Promoter) suspectPrimary(now time.Time, i InstanceView) []Action {
	p.suspect = i.ID
	p.reached = map[string]bool{}
	p.enter(now, Observing)
	return []Action{{Kind: AskObservers, Instance: i.ID, Term: i.Status.Term, Reason: p.reason}}
}

// watchPrimary looks after a known primary.
func (p *Promoter) watchPrimary(now time.Time, v View, primary InstanceView) []Action {
	silent := now.Sub(primary.Heard)
	switch {
	case now.Before(p.notUntil):
		return nil
	case silent >= p.config.SuspectAfter-p.config.ObserveFor:
		if v.heardSince(now, p.config.SuspectAfter) < v.majority() {
			return nil
		}
		p.reason = fmt.Sprintf("primary %s silent for %s", primary.ID, silent.Round(time.Millisecond))
		return p.suspectPrimary(now, primary)
	case primary.Status.Leaving && v.heardSince(now, p.config.SuspectAfter) > v.majority()-1 && len(v.Instances) > 1:
		p.suspect = primary.ID
		p.paused = true
		p.reason = fmt.Sprintf("primary %s is leaving", primary.ID)
		p.enter(now, Draining)
		return []Action{{Kind: PauseWrites, Instance: primary.ID, Reason: p.reason}}
	default:
		return nil
	}
}

// Observed records what a peer says of the suspected primary.
func (p *Promoter) Observed(peer, instance string, reachable bool) {
	if p.phase == Observing && instance == p.suspect {
		p.reached[peer] = reachable
	}
}

// observe waits for the observers and decides by their majority.
//
// They are asked before the silence is long enough for a promotion, so that
// their answers are there when it is. The replicas take part: each tells how long ago it heard from the primary.
func (p *Promoter) observe(now time.Time, v View) []Action {
	for _, i := range v.Instances {
		if i.ID == p.suspect && i.Heard.After(p.since) {
			return p.refute(now, "the primary answers again")
		}
	}
	if now.Sub(p.since) < p.config.ObserveFor {
		return nil
	}
	yes, no := p.votes(now, v)
	if yes >= no {
		return p.refute(now, fmt.Sprintf("%d observers reach the primary, %d do not", yes, no))
	}
	return p.begin(now, v, fmt.Sprintf("%s; %d of %d observers do not reach it", p.reason, no, yes+no))
}

// votes counts the observers that reach the suspected primary and those that do not.
//
// The promoter's own silence is one vote against the primary.
func (p *Promoter) votes(now time.Time, v View) (yes, no int) {
	no = 1
	for _, r := range p.reached {
		if r {
			yes++
		} else {
			no++
		}
	}
	for _, i := range v.Instances {
		if i.ID == p.suspect || !i.Known || now.Sub(i.Heard) >= p.config.SuspectAfter {
			continue
		}
		if i.Status.SincePrimary+now.Sub(i.Heard) < p.config.SuspectAfter-p.config.ObserveFor {
			yes++
		} else {
			no++
		}
	}
	return yes, no
}

// refute gives up a suspicion for a while.
func (p *Promoter) refute(now time.Time, reason string) []Action {
	p.reason = reason
	p.notUntil = now.Add(p.config.Backoff)
	p.enter(now, Watching)
	return nil
}

// drain waits until a replica holds all that the leaving primary holds.
func (p *Promoter) drain(now time.Time, v View) []Action {
	var primary InstanceView
	for _, i := range v.Instances {
		if i.ID == p.suspect {
			primary = i
		}
	}
	caughtUp := false
	for _, i := range v.Instances {
		fresh := i.Known && i.Heard.After(p.since.Add(p.config.Grace))
		if i.ID != p.suspect && fresh && !i.Status.Leaving && i.Status.Applied.Offset >= primary.Status.Applied.Offset {
			caughtUp = true
		}
	}
	if primary.Heard.After(p.since.Add(p.config.Grace)) && caughtUp {
		return p.begin(now, v, p.reason+"; a replica has caught up")
	}
	if now.Sub(p.since) >= p.config.SwitchOverFor {
		p.notUntil = now.Add(p.config.Backoff)
		p.reason += "; no replica caught up in time"
		p.enter(now, Watching)
		return p.resume()
	}
	return nil
}

// begin starts a promotion in a new term.
func (p *Promoter) begin(now time.Time, v View, reason string) []Action {
	p.term = v.maxTerm() + 1
	p.acks = map[string]tracker.Status{}
	p.majority = time.Time{}
	p.asked = 0
	p.reason = reason
	p.enter(now, Raising)
	var actions []Action
	for _, i := range v.Instances {
		if now.Sub(i.Heard) < p.config.SuspectAfter && i.Known {
			p.asked++
		}
		actions = append(actions, Action{Kind: RaiseTerm, Instance: i.ID, Term: p.term, Reason: reason})
	}
	return actions
}

// Raised records that an instance follows a term, with its status at that moment.
func (p *Promoter) Raised(now time.Time, instance string, term uint64, s tracker.Status) {
	if p.phase != Raising || term != p.term || s.Term != term {
		return
	}
	p.acks[instance] = s
}

// raise waits for a majority and then chooses the most advanced instance.
func (p *Promoter) raise(now time.Time, v View) []Action {
	if now.Sub(p.since) >= p.config.RaiseFor {
		return p.fail(now, "no majority follows the new term")
	}
	if len(p.acks) < v.majority() {
		return nil
	}
	if p.majority.IsZero() {
		p.majority = now
	}
	if len(p.acks) < p.asked && now.Sub(p.majority) < p.config.Grace {
		return nil
	}
	p.target = p.choose(v)
	p.enter(now, Promoting)
	reason := fmt.Sprintf("%s; %s is the most advanced of %d at %s", p.reason, p.target, len(p.acks), p.acks[p.target].Applied)
	p.reason = reason
	return []Action{{Kind: PromoteInstance, Instance: p.target, Term: p.term, Reason: reason}}
}

// choose returns the most advanced instance that follows the term.
//
// Nearness only breaks a tie; an instance that is leaving is a last resort.
func (p *Promoter) choose(v View) string {
	best := -1
	for n, i := range v.Instances {
		s, ok := p.acks[i.ID]
		if !ok {
			continue
		}
		if best < 0 || better(s, i.Distance, p.acks[v.Instances[best].ID], v.Instances[best].Distance) {
			best = n
		}
	}
	return v.Instances[best].ID
}

// better reports whether the status s is a better choice than t.
func better(s tracker.Status, sd time.Duration, t tracker.Status, td time.Duration) bool {
	if s.Applied != t.Applied {
		return t.Applied.Before(s.Applied)
	}
	if s.Leaving != t.Leaving {
		return t.Leaving
	}
	return sd < td
}

// Promoted records the answer of the chosen instance.
func (p *Promoter) Promoted(now time.Time, instance string, term uint64, ok bool) []Action {
	if p.phase != Promoting || term != p.term || instance != p.target {
		return nil
	}
	if !ok {
		return p.fail(now, "the chosen instance refused the term")
	}
	p.completed++
	p.suspect = ""
	p.enter(now, Watching)
	return p.resume()
}

// promote gives up when the chosen instance does not answer.
func (p *Promoter) promote(now time.Time) []Action {
	if now.Sub(p.since) >= p.config.PromoteFor {
		return p.fail(now, "the chosen instance did not answer")
	}
	return nil
}

// fail ends an attempt; the next one uses a later term.
func (p *Promoter) fail(now time.Time, reason string) []Action {
	p.reason = reason
	p.notUntil = now.Add(p.config.Backoff)
	p.enter(now, Watching)
	return p.resume()
}

// resume lets writes go on after a planned change.
func (p *Promoter) resume() []Action {
	if !p.paused {
		return nil
	}
	p.paused = false
	return []Action{{Kind: ResumeWrites, Reason: p.reason}}
}

// enter changes the phase.
func (p *Promoter) enter(now time.Time, phase Phase) {
	p.phase = phase
	p.since = now
}
