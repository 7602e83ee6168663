package assembler

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/compressor"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
)

const (
	// cataloguePath and cataloguePurpose are the path at which a VM serves its configuration
	// to other VMs, and the purpose under which that traffic is counted.
	cataloguePath    = "/catalogue"
	cataloguePurpose = "peer-catalogue"
	// baseParameter is the query parameter with the hash of the configuration that the
	// requesting VM has, and baseHeader the response header with that of the configuration
	// from which the response states the differences. hashHeader holds the hash of the
	// configuration itself.
	baseParameter = "base"
	baseHeader    = "Marigoldgauge-Base"
	hashHeader    = "Marigoldgauge-Hash"
	// differencesEncoding is the content encoding of the response to a VM that states its base.
	differencesEncoding = "zstd"
	// maxBodies is the number of configurations that are kept, the current one included,
	// so that VMs that are some versions behind get differences.
	maxBodies = 3
)

// errOtherConfiguration means that differences led to another configuration than the one
// of their sender.
var errOtherConfiguration = eris.New("the decompressed configuration has another hash than its sender's")

// bodies holds the last configurations as read from the store or received. It is safe for
// concurrent use.
type bodies struct {
	mu sync.Mutex
	// values holds the configurations by hash, and order their hashes, the current one last.
	values map[compressor.Hash][]byte
	order  []compressor.Hash
	// compressed holds the current configuration in compressed form, by the hash of the
	// base; gzipped in the form for VMs that state none.
	compressed map[compressor.Hash][]byte
	gzipped    []byte
}

// newBodies returns bodies without a configuration.
func newBodies() *bodies {
	return &bodies{values: map[compressor.Hash][]byte{}}
}

// add makes a configuration the current one.
func (b *bodies) add(raw []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hash := compressor.HashOf(raw)
	b.compressed, b.gzipped = map[compressor.Hash][]byte{}, nil
	if _, ok := b.values[hash]; !ok {
		b.order = append(b.order, hash)
	}
	b.values[hash] = raw
	for len(b.order) > maxBodies {
		delete(b.values, b.order[0])
		b.order = b.order[1:]
	}
}

// current returns the hash of the current configuration; zero if there is none.
func (b *bodies) current() compressor.Hash {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.order) == 0 {
		return 0
	}
	return b.order[len(b.order)-1]
}

// value returns a configuration by its hash, or nil if it is not kept.
func (b *bodies) value(hash compressor.Hash) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.values[hash]
}

// differences returns the current configuration in compressed form for a VM that has the
// one with the hash base, and the hash of the base that was used; zero for none.
func (b *bodies) differences(base compressor.Hash) (compressed []byte, used, hash compressor.Hash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.order) == 0 {
		return nil, 0, 0
	}
	if b.values[base] == nil {
		base = 0
	}
	hash = b.order[len(b.order)-1]
	if b.compressed[base] == nil {
		b.compressed[base] = compressor.Compress(b.values[hash], b.values[base])
	}
	return b.compressed[base], base, hash
}

// whole returns the current configuration in the form for a VM that states no base, or nil
// if there is none.
func (b *bodies) whole() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.order) > 0 && b.gzipped == nil {
		b.gzipped = compress(b.values[b.order[len(b.order)-1]])
	}
	return b.gzipped
}

// serveCatalogue serves the active configuration.
func (p *Proxy) serveCatalogue(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if !query.Has(baseParameter) {
		whole := p.State.bodies.whole()
		if whole == nil {
			http.Error(w, "no configuration is known yet", http.StatusNotFound)
			return
		}
		p.writeCompressed(w, whole, cataloguePurpose)
		return
	}
	base, err := compressor.ParseHash(query.Get(baseParameter))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	compressed, used, hash := p.State.bodies.differences(base)
	if compressed == nil {
		http.Error(w, "no configuration is known yet", http.StatusNotFound)
		return
	}
	if used != 0 {
		w.Header().Set(baseHeader, used.String())
	}
	w.Header().Set(hashHeader, hash.String())
	w.Header().Set("Content-Encoding", differencesEncoding)
	p.Parts.Accountant.Sent(cataloguePurpose, len(compressed))
	// On a write error the other VM retries.
	_, _ = w.Write(compressed)
}

// fetchCatalogue fetches the configuration from another VM and applies it.
func (p *Proxy) fetchCatalogue(ctx context.Context, from gossiper.Peer, progress func(now time.Time)) error {
	base := ""
	if hash := p.State.bodies.current(); hash != 0 {
		base = hash.String()
	}
	raw, err := p.fetch(ctx, from, cataloguePath+"?"+baseParameter+"="+base, cataloguePurpose, progress)
	if err == nil {
		p.applyCatalogue(raw, from.Name)
	}
	return err
}

// decompressDifferences returns the configuration from a response that states its
// differences from a base.
func (p *Proxy) decompressDifferences(header http.Header, body []byte) ([]byte, error) {
	base, err := compressor.ParseHash(header.Get(baseHeader))
	if err != nil {
		return nil, err
	}
	raw, err := compressor.Decompress(body, p.State.bodies.value(base), maxResponseBytes)
	if err != nil {
		return nil, err
	}
	if hash, err := compressor.ParseHash(header.Get(hashHeader)); err != nil || hash != compressor.HashOf(raw) {
		return nil, errOtherConfiguration
	}
	return raw, nil
}
