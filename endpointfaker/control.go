package endpointfaker

import (
	"encoding/json"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// callControlFunction evaluates the functions by which a proxy monitors and
// controls an instance.
func (i *Instance) callControlFunction(now time.Time, name string, args []Value) (result, error) {
	var out any
	var err error
	switch {
	case name == "marigoldgauge_status":
		out = i.Status(now)
	case name == "marigoldgauge_raise" && len(args) == 2:
		out, err = i.RaiseTerm(now, uint64(args[0].number()), args[1].String())
	case name == "marigoldgauge_promote" && len(args) == 2:
		out, err = i.Promote(now, uint64(args[0].number()), args[1].String())
	case name == "marigoldgauge_fence" && len(args) == 2:
		err = i.FencePool(uint64(args[0].number()), args[1].String())
	default:
		return result{}, newPgError("42883", "unknown control function "+name)
	}
	if err != nil {
		return result{}, newPgError("55000", err.Error())
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return result{}, newPgError("XX000", err.Error())
	}
	return result{columns: []column{{name, pgtype.TextOID}}, rows: [][]Value{{text(string(raw))}}, tag: "SELECT 1"}, nil
}
