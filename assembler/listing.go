package assembler

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	fastjson "github.com/segmentio/encoding/json"

	"github.com/marigoldgauge/marigoldgauge/coalescer"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/versioner"
)

const (
	// listingPath and listingPurpose are the path at which a VM serves the list of instances
	// to other VMs, and the purpose under which that traffic is counted.
	listingPath    = "/instances"
	listingPurpose = "peer-instances"
	// afterParameter is the query parameter with the revision of the list that the
	// requesting VM has.
	afterParameter = "after"
)

// listing is the list of instances, or its changes, as VMs send it to each other.
type listing struct {
	versioner.Changes
	// ChangedAt is the revision of the last change that matters to other VMs.
	ChangedAt uint64 `json:"changed-at"`
}

// followInstances keeps the list of instances up to date.
func (p *Proxy) followInstances(ctx context.Context) error {
	known := func() bool { return p.State.listingChange.Load() > 0 }
	w := p.newWatcher(p.Parts.Adapter.InstancesPrefix(), p.Verifiers.instances, known, p.updateListing)
	return w.Run(ctx)
}

// updateListing applies an update of the list of instances as read from the store.
func (p *Proxy) updateListing(u versioner.Update) {
	p.State.applyMu.Lock()
	defer p.State.applyMu.Unlock()
	if news, ok := p.State.listing.Update(u); ok {
		p.applyInstances(news, u.Revision)
	}
}

// lister reads the list of instances on behalf of concurrent replacements, which share the reading. It
// implements switcher.Lister.
type lister struct{ reads *coalescer.Coalescer }

// RefreshInstances reads the list of instances from the store and applies it.
func (l lister) RefreshInstances(ctx context.Context) error { return l.reads.Do(ctx) }

// readListing reads the list of instances from the store and applies it.
func (p *Proxy) readListing(ctx context.Context) error {
	startedAt := p.Parts.Clock.Now()
	page, err := p.Parts.Adapter.Store().List(ctx, p.Parts.Adapter.InstancesPrefix())
	if err != nil {
		return err
	}
	p.updateListing(versioner.Update{Whole: true, Revision: page.Revision, Objects: page.Objects})
	p.Verifiers.instances.Verify(startedAt)
	return nil
}

// fetchListing fetches the changes of the list of instances from another VM and applies
// them.
func (p *Proxy) fetchListing(ctx context.Context, from gossiper.Peer, progress func(now time.Time)) error {
	path := listingPath + "?" + afterParameter + "=" + strconv.FormatUint(p.State.listing.Base(), 10)
	raw, err := p.fetch(ctx, from, path, listingPurpose, progress)
	if err != nil {
		return err
	}
	var l listing
	// Each process that starts decodes the whole list. encoding/json takes six times as long.
	if err := fastjson.Unmarshal(raw, &l); err != nil {
		return eris.Wrap(err, "decoding the list of instances")
	}
	if l.ChangedAt == 0 {
		// A VM of an earlier version announces the revision of its list.
		l.ChangedAt = l.Revision
	}
	p.State.applyMu.Lock()
	defer p.State.applyMu.Unlock()
	if news, ok := p.State.listing.Apply(l.Changes); ok {
		p.applyInstances(news, l.ChangedAt)
	}
	return nil
}

// applyInstances passes what is new in the list of instances to the components, and announces
// it to the other VMs if it matters to them. changedAt is the revision of the change. The
// caller holds applyMu.
func (p *Proxy) applyInstances(news versioner.Update, changedAt uint64) {
	defer p.Verifiers.instances.Install(p.State.listing.Revision())
	changed, removed := p.decodeInstances(news)
	p.State.instances.SetAsOf(p.Verifiers.instances.AsOf())
	relevant := p.State.instances.Update(p.Parts.Clock.Now(), changed, removed)
	p.updateInstances()
	if relevant || p.State.listingChange.Load() == 0 {
		p.State.listingChange.Store(changedAt)
		p.announceChange()
	}
}

// decodeInstances decodes what is new in the list, and returns the instances that were added
// or changed and the ids of those that are gone. The caller holds applyMu.
func (p *Proxy) decodeInstances(news versioner.Update) (changed []observer.Instance, removed []string) {
	changed = make([]observer.Instance, 0, len(news.Objects))
	for _, o := range news.Objects {
		i, err := p.Parts.Adapter.DecodeInstance(o)
		if err != nil {
			p.Journal.LogStateChange("instance-passed-over", journaler.F("key", o.Key), journaler.Err(err))
			news.Removed = append(news.Removed, o.Key)
			continue
		}
		if id, ok := p.State.instanceIDs[o.Key]; ok && id != i.ID {
			removed = append(removed, id)
		}
		p.State.instanceIDs[o.Key] = i.ID
		changed = append(changed, i)
	}
	for _, key := range news.Removed {
		if id, ok := p.State.instanceIDs[key]; ok {
			removed = append(removed, id)
			delete(p.State.instanceIDs, key)
		}
	}
	return changed, removed
}

// serveListing serves the changes of the list of instances after a revision, or the whole list.
func (p *Proxy) serveListing(w http.ResponseWriter, r *http.Request) {
	changedAt := p.State.listingChange.Load()
	if changedAt == 0 {
		http.Error(w, "no list of instances is known yet", http.StatusNotFound)
		return
	}
	// Without a valid revision, the whole list is sent.
	after, err := strconv.ParseUint(r.URL.Query().Get(afterParameter), 10, 64)
	if err != nil {
		after = 0
	}
	compressed := p.State.listingResponses.get(p.State.listing, after, changedAt, func(after uint64) []byte {
		raw, err := json.Marshal(listing{Changes: p.State.listing.ChangesAfter(after), ChangedAt: changedAt})
		if err != nil {
			panic(eris.Wrap(err, "encoding the list of instances"))
		}
		return compress(raw)
	})
	p.writeCompressed(w, compressed, listingPurpose)
}

// writeCompressed writes a compressed response to another VM. On a write error the other
// VM retries.
func (p *Proxy) writeCompressed(w http.ResponseWriter, compressed []byte, purpose string) {
	p.Parts.Accountant.Sent(purpose, len(compressed))
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(compressed)
}
