package endpointfaker

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"
)

// Value is a column value: NULL, an integer or a text.
type Value struct {
	// Null reports whether the value is NULL.
	Null bool
	// Integer reports whether the value is the integer N, and otherwise the text S.
	Integer bool
	// N is the integer.
	N int64
	// S is the text.
	S string
}

// null is the NULL value.
var null = Value{Null: true}

// integer returns an integer value.
func integer(n int64) Value {
	return Value{Integer: true, N: n}
}

// text returns a text value.
func text(s string) Value {
	return Value{S: s}
}

// boolean returns a boolean in PostgreSQL's text format.
func boolean(b bool) Value {
	if b {
		return text("t")
	}
	return text("f")
}

// String returns the value in text format; NULL is the empty string.
func (v Value) String() string {
	if v.Integer {
		return strconv.FormatInt(v.N, 10)
	}
	return v.S
}

// equal reports whether two values are equal; NULL is not equal to any value.
func (v Value) equal(w Value) bool {
	return !v.Null && !w.Null && v.String() == w.String()
}

// number returns the value as an integer; a text that is not one is 0.
func (v Value) number() int64 {
	if v.Integer {
		return v.N
	}
	n, _ := strconv.ParseInt(v.S, 10, 64)
	return n
}

// encode encodes the value with a format code: 0 is text, 1 is binary.
func (v Value) encode(format int16) []byte {
	switch {
	case v.Null:
		return nil
	case v.Integer && format == 1:
		return binary.BigEndian.AppendUint64(nil, uint64(v.N))
	default:
		return []byte(v.String())
	}
}

// decode decodes a parameter with a type OID and a format code.
func decode(oid uint32, format int16, raw []byte) Value {
	if raw == nil {
		return null
	}
	if oid != pgtype.Int8OID {
		return text(string(raw))
	}
	if format == 1 && len(raw) == 8 {
		return integer(int64(binary.BigEndian.Uint64(raw)))
	}
	n, _ := strconv.ParseInt(string(raw), 10, 64)
	return integer(n)
}
