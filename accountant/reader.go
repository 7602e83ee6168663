package accountant

import "io"

// reader is a reader whose reads are counted.
type reader struct {
	io.Reader
	accountant *Accountant
	purpose    string
}

// Reader returns a reader that counts its reads for a purpose.
func (a *Accountant) Reader(r io.Reader, purpose string) io.Reader {
	return &reader{Reader: r, accountant: a, purpose: purpose}
}

// Read reads from the reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.accountant.Received(r.purpose, n)
	}
	return n, err
}
