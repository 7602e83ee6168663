package assembler

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
)

// pack packs a configuration for other VMs.
func pack(raw []byte) *[]byte {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err == nil {
		_, err = w.Write(raw)
		err = errors.Join(err, w.Close())
	}
	if err != nil {
		// The level is valid and a buffer takes all.
		panic(eris.Wrap(err, "packing the configuration"))
	}
	packed := b.Bytes()
	return &packed
}

// spread tells the other VMs of news from the store at once.
func (p *Proxy) spread() {
	if p.State.watches.Load() || p.Gossiper.Speaks(p.Parts.Clock.Now()) {
		p.Gossiper.Hurry()
	}
}

// catchUp fetches what other VMs know later: this one may leave the store alone,
// or be turned away by it.
func (p *Proxy) catchUp(ctx context.Context) error {
	var under fetches
	defer func() { _ = under.group.Wait() }()
	behind := gossiper.Message{}
	pause := catchUpAtOnce
	for clocker.Sleep(ctx, pause) {
		now := p.Parts.Clock.Now()
		own := p.Catalogue.Version()
		pause = catchUpAfter
		if own == 0 {
			pause = catchUpAtOnce
		}
		alive := slices.Clone(p.Gossiper.Alive(now))
		// Any of those that know it will do, so that not all ask the same.
		rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
		listed := p.State.listing.Load()
		var version, list gossiper.Peer
		for _, peer := range alive {
			if peer.Version > max(own, version.Version) && p.trusts(peer, own > 0) && under.may(now, peer.Heard, source{cataloguePath, peer.Name}) {
				version = peer
			}
			if peer.Listing > max(listed, list.Listing) && p.trusts(peer, listed > 0) && under.may(now, peer.Heard, source{listingPath, peer.Name}) {
				list = peer
			}
		}
		holds := !p.State.watches.Load()
		if version.Version > 0 && (holds || own == 0 || version.Version == behind.Version) {
			under.start(now, source{cataloguePath, version.Name}, func() { p.note("catch-up-failed", version.Name, p.fetchCatalogue(ctx, version)) })
		}
		if list.Listing > 0 && (holds || listed == 0 || list.Listing == behind.Listing) {
			under.start(now, source{listingPath, list.Name}, func() { p.note("catch-up-failed", list.Name, p.fetchListing(ctx, list)) })
		}
		behind.Version, behind.Listing = version.Version, list.Listing
	}
	return nil
}

// trusts reports whether to take what another VM knows. A process that has just
// started may have known later things before: it takes only what comes from a
// store that answered a moment ago, unless it cannot reach the store itself.
func (p *Proxy) trusts(peer gossiper.Peer, knows bool) bool {
	return knows || peer.Fresh || p.State.storeLost.Load()
}

// note records an error of a source of knowledge, if there is one.
func (p *Proxy) note(decision, vm string, err error) {
	if err != nil {
		p.Journal.Belief(decision, journaler.Source(vm), journaler.Err(err))
	}
}

// fetchCatalogue takes the configuration of another VM.
func (p *Proxy) fetchCatalogue(ctx context.Context, from gossiper.Peer) error {
	raw, err := p.fetch(ctx, from, cataloguePath)
	if err == nil {
		p.takeCatalogue(raw, from.Name)
	}
	return err
}

// fetchListing takes the list of instances of another VM.
func (p *Proxy) fetchListing(ctx context.Context, from gossiper.Peer) error {
	raw, err := p.fetch(ctx, from, listingPath)
	if err != nil {
		return err
	}
	var l listing
	if err := json.Unmarshal(raw, &l); err != nil {
		return eris.Wrap(err, "decoding the list of instances")
	}
	p.takeListing(&l)
	return nil
}

// fetch asks another VM for what it knows.
func (p *Proxy) fetch(ctx context.Context, from gossiper.Peer, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.Address.String()+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "building the request")
	}
	resp, err := p.State.peers.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "asking another VM")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the VM answered with status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxCatalogue))
	return raw, eris.Wrap(err, "reading the answer")
}
