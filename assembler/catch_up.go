package assembler

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/gzip"
	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// gzipWriters holds writers for reuse: a new one takes 0.8 MB, mostly for small responses.
var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(eris.Wrap(err, "creating a writer with a valid level"))
	}
	return w
}}

// compress compresses a response to another VM.
func compress(raw []byte) []byte {
	var b bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&b)
	_, err := w.Write(raw)
	if err = errors.Join(err, w.Close()); err != nil {
		panic(eris.Wrap(err, "writing to a buffer that accepts all writes"))
	}
	return b.Bytes()
}

// announceChange announces a change in the store to the other VMs at once, if this VM
// watches the store or is a relay of its availability zone.
func (p *Proxy) announceChange() {
	if p.State.watchesStore.Load() || p.Gossiper.IsRelay(p.Parts.Clock.Now()) {
		p.Gossiper.SendNow()
	}
}

// noteVersion wakes catchUp if the message of another VM announces a later configuration
// than this VM's own, and this VM does not watch the store. A VM that watches it receives
// the configuration from there, if not later than catchUpInterval.
func (s *state) noteVersion(now time.Time, m gossiper.Message, own uint64) {
	if m.Version <= own || s.watchesStore.Load() {
		return
	}
	select {
	case s.laterCatalogue <- gossiper.Peer{Message: m, Heard: now}:
	default:
	}
}

// catchUp fetches later versions of the configuration and of the list of
// instances from other VMs, since this VM may not watch the store, or may be
// refused by it.
func (p *Proxy) catchUp(ctx context.Context) error {
	var pending pendingFetches
	defer func() { _ = pending.group.Wait() }()
	previous := gossiper.Message{}
	delay := initialCatchUpInterval
	for {
		announcer, ok := timekeeper.SleepUntil(ctx, delay, p.State.laterCatalogue)
		if !ok {
			return nil
		}
		now := p.Parts.Clock.Now()
		own := p.Catalogue.Version()
		delay = catchUpInterval
		if own == 0 {
			delay = initialCatchUpInterval
		}
		alive := slices.Clone(p.Gossiper.Alive(now))
		// A random order spreads the fetches over the VMs that have the version.
		rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
		// The list of VMs alive may be older than the announcement that ended the sleep. The
		// announcer of nothing has no version.
		alive = append(alive, announcer)
		listed := p.State.listing.Base()
		var version, list gossiper.Peer
		for _, peer := range alive {
			if peer.Version > max(own, version.Version) && p.trusts(peer, own > 0) && pending.mayStart(now, peer.Heard, fetchSource{cataloguePath, peer.Name}) {
				version = peer
			}
			if peer.ListRevision > max(listed, list.ListRevision) && p.trusts(peer, listed > 0) && pending.mayStart(now, peer.Heard, fetchSource{listingPath, peer.Name}) {
				list = peer
			}
		}
		skipsWatch := !p.State.watchesStore.Load()
		if version.Version > 0 && (skipsWatch || own == 0 || version.Version == previous.Version) {
			pending.start(now, fetchSource{cataloguePath, version.Name}, func(progress func(now time.Time)) {
				p.logError("catch-up-failed", version.Name, p.fetchCatalogue(ctx, version, progress))
			})
		}
		if list.ListRevision > 0 && (skipsWatch || listed == 0 || list.ListRevision == previous.ListRevision) {
			pending.start(now, fetchSource{listingPath, list.Name}, func(progress func(now time.Time)) {
				p.logError("catch-up-failed", list.Name, p.fetchListing(ctx, list, progress))
			})
		}
		previous.Version, previous.ListRevision = version.Version, list.ListRevision
	}
}

// trusts reports whether to accept data of another VM. A process that has just
// started may have known a later version before its restart: it accepts data only
// from a VM that the store answered recently, unless it cannot reach the store
// itself. known reports that the process has such data already.
func (p *Proxy) trusts(peer gossiper.Peer, known bool) bool {
	return known || peer.ListFresh || p.State.storeUnreachable.Load()
}

// logError logs err, unless it is nil, with the VM that it came from.
func (p *Proxy) logError(decision, vm string, err error) {
	if err != nil {
		p.Journal.LogStateChange(decision, journaler.Source(vm), journaler.Err(err))
	}
}

// fetch sends a GET request to another VM and returns the decompressed response body.
// progress is called whenever a part of it arrives.
func (p *Proxy) fetch(ctx context.Context, from gossiper.Peer, path, purpose string, progress func(now time.Time)) ([]byte, error) {
	ctx, end := context.WithTimeout(ctx, maxFetchTime)
	defer end()
	ctx, stall, cancel := timekeeper.WithStallTimeout(ctx, fetchTimeout, fetchTimeout)
	defer cancel()
	stall.OnProgress = func() { progress(p.Parts.Clock.Now()) }
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.Address.String()+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "building the request to another VM")
	}
	req.Header.Set("Accept-Encoding", "gzip, "+differencesEncoding)
	resp, err := p.State.peerClient.Do(req)
	if err != nil {
		// The idle connections may be silent too.
		p.State.peerClient.CloseIdleConnections()
		return nil, eris.Wrap(err, "sending the request to another VM")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the other VM responded with status %d", resp.StatusCode)
	}
	body := stall.Reader(p.Parts.Accountant.Reader(resp.Body, purpose))
	encoding := resp.Header.Get("Content-Encoding")
	if encoding == "gzip" {
		if body, err = gzip.NewReader(body); err != nil {
			return nil, eris.Wrap(err, "decompressing the response of another VM")
		}
	}
	raw, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err == nil && encoding == differencesEncoding {
		raw, err = p.decompressDifferences(resp.Header, raw)
	}
	return raw, eris.Wrap(err, "reading the response of another VM")
}
