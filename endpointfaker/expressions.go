package endpointfaker

import (
	"slices"
	"sort"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// matchingRows returns the row numbers that satisfy a condition, in ascending order.
func (e *evaluator) matchingRows(t *table, where *pgquery.Node) ([]int64, error) {
	var out []int64
	for n, row := range t.rows {
		ok, err := e.condition(where, t, row)
		if err != nil {
			return nil, err
		}
		if ok {
			out = append(out, n)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, nil
}

// condition evaluates a condition on a row. A nil condition is true.
func (e *evaluator) condition(n *pgquery.Node, t *table, row []Value) (bool, error) {
	if n == nil {
		return true, nil
	}
	if b := n.GetBoolExpr(); b != nil && b.Boolop == pgquery.BoolExprType_AND_EXPR {
		for _, a := range b.Args {
			if ok, err := e.condition(a, t, row); err != nil || !ok {
				return false, err
			}
		}
		return true, nil
	}
	v, err := e.expression(n, t, row)
	return v.S == "t", err
}

// expression evaluates an expression on a row.
func (e *evaluator) expression(n *pgquery.Node, t *table, row []Value) (Value, error) {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_AConst:
		return e.constant(x.AConst), nil
	case *pgquery.Node_ParamRef:
		at := int(x.ParamRef.Number) - 1
		if at < 0 || at >= len(e.params) {
			return null, newPgError("08P01", "a parameter is missing")
		}
		e.recordText(e.params[at])
		return e.params[at], nil
	case *pgquery.Node_TypeCast:
		return e.expression(x.TypeCast.Arg, t, row)
	case *pgquery.Node_ColumnRef:
		name := x.ColumnRef.Fields[len(x.ColumnRef.Fields)-1].GetString_().GetSval()
		if t == nil || t.index(name) < 0 {
			return null, newPgError("42703", "column \""+name+"\" does not exist")
		}
		if row == nil {
			return null, nil
		}
		return row[t.index(name)], nil
	case *pgquery.Node_AExpr:
		return e.operator(x.AExpr, t, row)
	default:
		return null, newPgError("0A000", "the stand-in does not know this expression")
	}
}

// recordText adds a text value to the distinct text values of the statement.
func (e *evaluator) recordText(v Value) {
	if !v.Integer && !v.Null && !slices.Contains(e.texts, v.S) {
		e.texts = append(e.texts, v.S)
	}
}

// constant evaluates a constant.
func (e *evaluator) constant(c *pgquery.A_Const) Value {
	switch {
	case c.Isnull:
		return null
	case c.GetSval() != nil:
		v := text(c.GetSval().Sval)
		e.recordText(v)
		return v
	case c.GetFval() != nil:
		return text(c.GetFval().Fval)
	default:
		return integer(int64(c.GetIval().GetIval()))
	}
}

// operator evaluates a binary operator.
func (e *evaluator) operator(x *pgquery.A_Expr, t *table, row []Value) (Value, error) {
	l, err := e.expression(x.Lexpr, t, row)
	if err != nil {
		return null, err
	}
	r, err := e.expression(x.Rexpr, t, row)
	if err != nil {
		return null, err
	}
	switch x.Name[0].GetString_().GetSval() {
	case "=":
		return boolean(l.equal(r)), nil
	case "<>":
		return boolean(!l.Null && !r.Null && !l.equal(r)), nil
	case "<":
		return boolean(l.number() < r.number()), nil
	case ">":
		return boolean(l.number() > r.number()), nil
	case "+":
		return integer(l.number() + r.number()), nil
	case "-":
		return integer(l.number() - r.number()), nil
	default:
		return null, newPgError("42883", "the stand-in does not know this operator")
	}
}
