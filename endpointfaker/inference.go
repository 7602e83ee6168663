package endpointfaker

import (
	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// inferParameterTypes returns the type OIDs of the parameters of a statement.
func inferParameterTypes(n *pgquery.Node, read func(string) (*table, error)) []uint32 {
	p := &inference{types: map[int32]uint32{}}
	switch s := n.GetNode().(type) {
	case *pgquery.Node_InsertStmt:
		p.table, _ = read(s.InsertStmt.Relation.Relname)
		p.insertStatement(s.InsertStmt)
	case *pgquery.Node_UpdateStmt:
		p.table, _ = read(s.UpdateStmt.Relation.Relname)
		for _, target := range s.UpdateStmt.TargetList {
			p.visit(target.GetResTarget().Val, p.column(target.GetResTarget().Name))
		}
		p.visit(s.UpdateStmt.WhereClause, pgtype.TextOID)
	case *pgquery.Node_DeleteStmt:
		p.table, _ = read(s.DeleteStmt.Relation.Relname)
		p.visit(s.DeleteStmt.WhereClause, pgtype.TextOID)
	case *pgquery.Node_SelectStmt:
		p.selectStatement(s.SelectStmt, read)
	}
	out := make([]uint32, len(p.types))
	for number, oid := range p.types {
		if int(number) <= len(out) {
			out[number-1] = oid
		}
	}
	return out
}

// inference collects the type OIDs of parameters by parameter number.
type inference struct {
	table *table
	types map[int32]uint32
}

// column returns the type OID of a column; an unknown column is text.
func (p *inference) column(name string) uint32 {
	if p.table != nil {
		if at := p.table.index(name); at >= 0 {
			return p.table.columns[at].oid
		}
	}
	return pgtype.TextOID
}

// insertStatement visits the values of an INSERT statement.
func (p *inference) insertStatement(s *pgquery.InsertStmt) {
	for _, list := range s.SelectStmt.GetSelectStmt().GetValuesLists() {
		for n, item := range list.GetList().Items {
			oid := uint32(pgtype.TextOID)
			switch {
			case n < len(s.Cols):
				oid = p.column(s.Cols[n].GetResTarget().Name)
			case p.table != nil && n < len(p.table.columns):
				oid = p.table.columns[n].oid
			}
			p.visit(item, oid)
		}
	}
}

// selectStatement visits the expressions of a SELECT statement.
func (p *inference) selectStatement(s *pgquery.SelectStmt, read func(string) (*table, error)) {
	if len(s.FromClause) > 0 {
		p.table, _ = read(s.FromClause[0].GetRangeVar().GetRelname())
	}
	for _, target := range s.TargetList {
		val := target.GetResTarget().Val
		for _, a := range val.GetFuncCall().GetArgs() {
			p.visit(a, pgtype.Int8OID)
		}
		p.visit(val, pgtype.TextOID)
	}
	p.visit(s.WhereClause, pgtype.TextOID)
}

// visit assigns the parameters of an expression the type implied by their context.
func (p *inference) visit(n *pgquery.Node, oid uint32) {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_ParamRef:
		p.types[x.ParamRef.Number] = oid
	case *pgquery.Node_TypeCast:
		p.visit(x.TypeCast.Arg, oid)
	case *pgquery.Node_BoolExpr:
		for _, a := range x.BoolExpr.Args {
			p.visit(a, oid)
		}
	case *pgquery.Node_AExpr:
		for _, side := range []*pgquery.Node{x.AExpr.Lexpr, x.AExpr.Rexpr} {
			if ref := side.GetColumnRef(); ref != nil {
				oid = p.column(ref.Fields[len(ref.Fields)-1].GetString_().GetSval())
			}
		}
		p.visit(x.AExpr.Lexpr, oid)
		p.visit(x.AExpr.Rexpr, oid)
	}
}
