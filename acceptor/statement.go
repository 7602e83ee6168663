package acceptor

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/classifier"
)

// statement is a prepared statement of a caller. On the endpoints it goes by a
// global name, so that whichever connection serves the caller can have it.
type statement struct {
	global string
	class  classifier.Class
	raw    []byte
}

// newStatement returns the statement of a Parse message.
func newStatement(m *pgproto3.Parse, class classifier.Class) (*statement, error) {
	h := xxhash.New()
	_, _ = h.WriteString(m.Query)
	first := h.Sum64()
	_, _ = fmt.Fprint(h, m.ParameterOIDs)
	global := fmt.Sprintf("mg_%016x%016x", first, h.Sum64())
	raw, err := (&pgproto3.Parse{Name: global, Query: m.Query, ParameterOIDs: m.ParameterOIDs}).Encode(nil)
	if err != nil {
		return nil, err
	}
	return &statement{global: global, class: class, raw: raw}, nil
}
