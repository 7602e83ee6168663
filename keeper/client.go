// Package keeper is an HTTP client of the platform's object store.
//
// Object versions are entity tags, conditional updates use If-Match and
// If-None-Match, and a watch is a long poll to which the store responds when an
// object has changed.
package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxValueBytes is the size of the largest value that the store accepts.
	MaxValueBytes = 1 << 20
	// maxResponseBytes bounds the number of bytes read from a response body.
	maxResponseBytes = 64 << 20
	// callTimeout bounds a call that is not a watch; a watch may take this much
	// longer than its wait.
	callTimeout = 2 * time.Second
)

// Client is a client of the platform's store. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	reads   atomic.Uint64
	writes  atomic.Uint64
	watches atomic.Uint64
}

// New returns a Client of the store at base, such as http://10.0.0.1:8400.
func New(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// CallCounts returns the number of reads, writes and watches so far.
func (c *Client) CallCounts() CallCounts {
	return CallCounts{Reads: c.reads.Load(), Writes: c.writes.Load(), Watches: c.watches.Load()}
}

// Get returns an object, or ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	c.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var o Object
	err := c.do(ctx, http.MethodGet, "/objects/"+url.PathEscape(key), nil, Condition{}, &o)
	return o, err
}

// Put writes an object under a condition and returns its new version.
//
// After an error other than ErrConflict the outcome is unknown: the caller must
// read the object again and check whether it holds the value written.
func (c *Client) Put(ctx context.Context, key string, value []byte, cond Condition) (string, error) {
	if len(value) > MaxValueBytes {
		return "", eris.Errorf("value of %s has %d bytes, the limit is %d", key, len(value), MaxValueBytes)
	}
	c.writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var o Object
	err := c.do(ctx, http.MethodPut, "/objects/"+url.PathEscape(key), value, cond, &o)
	return o.Version, err
}

// List returns the objects whose keys begin with prefix.
func (c *Client) List(ctx context.Context, prefix string) (Page, error) {
	c.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var p Page
	err := c.do(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil, Condition{}, &p)
	return p, err
}

// Watch waits at most wait for writes after a revision to objects whose keys begin
// with prefix.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error) {
	c.watches.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	q := url.Values{}
	q.Set("prefix", prefix)
	q.Set("after", strconv.FormatUint(after, 10))
	q.Set("wait", wait.String())
	var p Page
	err := c.do(ctx, http.MethodGet, "/watch?"+q.Encode(), nil, Condition{}, &p)
	return p, err
}

// VMs returns the platform's list of VMs, which may lag behind the actual state.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	c.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var vms []VM
	err := c.do(ctx, http.MethodGet, "/vms", nil, Condition{}, &vms)
	return vms, err
}

// do sends one request and decodes the response into out.
func (c *Client) do(ctx context.Context, method, path string, body []byte, cond Condition, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "building the request %s %s", method, path)
	}
	if cond.Absent {
		req.Header.Set("If-None-Match", "*")
	}
	if cond.Version != "" {
		req.Header.Set("If-Match", cond.Version)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrapf(err, "sending %s %s to the store", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	return decode(resp, out)
}

// decode maps the status of a response to an error and decodes its body into out.
func decode(resp *http.Response, out any) error {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	default:
		return eris.Errorf("store responded with status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrap(err, "reading the store's response")
	}
	return eris.Wrap(json.Unmarshal(raw, out), "decoding the store's response")
}
