package acceptor

import (
	"encoding/hex"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/marigoldgauge/marigoldgauge/classifier"
	"github.com/marigoldgauge/marigoldgauge/preparer"
)

// preparedStatement is a prepared statement of a client. On the endpoints it has a
// global name, so that any pooled connection can hold it.
type preparedStatement struct {
	globalName string
	class      classifier.Class
	raw        []byte
}

// digestBytes is how much of a digest a name holds: PostgreSQL cuts names at 63 bytes.
const digestBytes = 28

// newPreparedStatement returns the prepared statement of a Parse message. Its
// global name is derived from the query and the parameter types.
func newPreparedStatement(m *pgproto3.Parse, class classifier.Class) (*preparedStatement, error) {
	digest := preparer.NewDigest(m.Query, fmt.Sprint(m.ParameterOIDs))
	global := "mg_" + hex.EncodeToString(digest[:digestBytes])
	raw, err := (&pgproto3.Parse{Name: global, Query: m.Query, ParameterOIDs: m.ParameterOIDs}).Encode(nil)
	if err != nil {
		return nil, err
	}
	return &preparedStatement{globalName: global, class: class, raw: raw}, nil
}
