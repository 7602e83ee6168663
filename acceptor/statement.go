package acceptor

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/classifier"
)

// preparedStatement is a prepared statement of a client. On the endpoints it has a
// global name, so that any pooled connection can hold it.
type preparedStatement struct {
	globalName string
	class      classifier.Class
	raw        []byte
}

// newPreparedStatement returns the prepared statement of a Parse message. Its
// global name is derived from the query and the parameter types.
func newPreparedStatement(m *pgproto3.Parse, class classifier.Class) (*preparedStatement, error) {
	h := xxhash.New()
	_, _ = h.WriteString(m.Query)
	first := h.Sum64()
	_, _ = fmt.Fprint(h, m.ParameterOIDs)
	global := fmt.Sprintf("mg_%016x%016x", first, h.Sum64())
	raw, err := (&pgproto3.Parse{Name: global, Query: m.Query, ParameterOIDs: m.ParameterOIDs}).Encode(nil)
	if err != nil {
		return nil, err
	}
	return &preparedStatement{globalName: global, class: class, raw: raw}, nil
}
