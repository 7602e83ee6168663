// Package compressor compresses a value for another VM, as its differences from a
// base that the other VM has, or in whole.
package compressor

import (
	"errors"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// dictionaryID identifies the base in the frame; there is only one.
	dictionaryID = 1
	// minWindow and maxWindow bound the distance, in bytes, over which an encoder finds what
	// the base has in common with the value.
	minWindow = 64 << 10
	maxWindow = 16 << 20
)

// Compress compresses a value. A base that is not empty is needed to decompress it.
func Compress(value, base []byte) []byte {
	options := []zstd.EOption{zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(true), zstd.WithWindowSize(window(len(value) + len(base)))}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		// The options are valid.
		panic(eris.Wrap(err, "creating an encoder"))
	}
	defer func() { _ = e.Close() }()
	return e.EncodeAll(value, nil)
}

// window returns the smallest window size that covers a number of bytes.
func window(n int) int {
	w := minWindow
	for w < n && w < maxWindow {
		w *= 2
	}
	return w
}

// errTooLong means that a value is longer than the limit.
var errTooLong = eris.New("the decompressed value is too long")

// Decompress returns a compressed value of at most limit bytes.
func Decompress(compressed, base []byte, limit int) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxWindow(2 * maxWindow), zstd.WithDecoderMaxMemory(uint64(limit))}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "creating a decoder")
	}
	defer d.Close()
	// The frame states the size of the value, so it is allocated once.
	value, err := d.DecodeAll(compressed, nil)
	if err == nil && len(value) > limit {
		err = errTooLong
	}
	return value, eris.Wrap(err, "decompressing a value")
}

// Hash identifies a value.
type Hash uint64

// HashOf returns the hash of a value.
func HashOf(value []byte) Hash { return Hash(xxhash.Sum64(value)) }

// String returns the hash in the form that ParseHash reads.
func (h Hash) String() string { return strconv.FormatUint(uint64(h), 16) }

// ParseHash parses a hash. The empty text is the hash of no value.
func ParseHash(text string) (Hash, error) {
	if text == "" {
		return 0, nil
	}
	h, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, eris.Wrapf(errors.Unwrap(err), "parsing the hash %q", text)
	}
	return Hash(h), nil
}
