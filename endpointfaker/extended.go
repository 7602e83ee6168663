package endpointfaker

import (
	"github.com/jackc/pgx/v5/pgproto3"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// handleExtended handles a message of the extended query protocol.
func (s *session) handleExtended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	default:
		return newPgError("0A000", "unsupported message")
	}
}

// parse handles a Parse message.
func (s *session) parse(m *pgproto3.Parse) error {
	tree, err := parse(m.Query)
	if err != nil {
		return err
	}
	p := &preparedStatement{text: m.Query}
	if len(tree.Stmts) > 0 {
		p.node = tree.Stmts[0].Stmt
		p.params = inferParameterTypes(p.node, s.tableReader())
	}
	for n, oid := range m.ParameterOIDs {
		if oid != 0 && n < len(p.params) {
			p.params[n] = oid
		}
	}
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// tableReader returns a function that reads a table as it is visible to the session.
func (s *session) tableReader() func(string) (*table, error) {
	tx := s.tx
	if tx == nil {
		tx = s.instance.begin(false, true)
	}
	return tx.read
}

// bind handles a Bind message.
func (s *session) bind(m *pgproto3.Bind) error {
	p := s.statements[m.PreparedStatement]
	if p == nil {
		return newPgError("26000", "prepared statement \""+m.PreparedStatement+"\" does not exist")
	}
	o := &portal{statement: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for n, raw := range m.Parameters {
		oid := uint32(25)
		if n < len(p.params) {
			oid = p.params[n]
		}
		o.params = append(o.params, decode(oid, format(m.ParameterFormatCodes, n), raw))
	}
	s.portals[m.DestinationPortal] = o
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// describe handles a Describe message for a statement or a portal.
func (s *session) describe(m *pgproto3.Describe) error {
	var p *preparedStatement
	var formats []int16
	if m.ObjectType == 'S' {
		p = s.statements[m.Name]
	} else if o := s.portals[m.Name]; o != nil {
		p, formats = o.statement, o.formats
	}
	if p == nil {
		return newPgError("26000", "nothing to describe")
	}
	if m.ObjectType == 'S' {
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
	}
	columns := s.columns(p.node)
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.sendColumns(columns, formats)
	return nil
}

// columns returns the result columns of a statement, or nil if it returns no rows.
func (s *session) columns(n *pgquery.Node) []column {
	e := &evaluator{session: s, tx: s.instance.begin(false, true), params: make([]Value, 64)}
	if s.tx != nil {
		e.tx = s.tx
	}
	var relation string
	var list []*pgquery.Node
	switch x := n.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		if len(x.SelectStmt.FromClause) == 0 {
			return e.expressionColumns(x.SelectStmt)
		}
		relation, list = x.SelectStmt.FromClause[0].GetRangeVar().GetRelname(), x.SelectStmt.TargetList
	case *pgquery.Node_InsertStmt:
		relation, list = x.InsertStmt.Relation.Relname, x.InsertStmt.ReturningList
	case *pgquery.Node_UpdateStmt:
		relation, list = x.UpdateStmt.Relation.Relname, x.UpdateStmt.ReturningList
	case *pgquery.Node_VariableShowStmt:
		return []column{{x.VariableShowStmt.Name, 25}}
	}
	t, err := e.tx.read(relation)
	if err != nil || len(list) == 0 {
		return nil
	}
	r, err := e.project(t, nil, list)
	if err != nil {
		return nil
	}
	return r.columns
}

// expressionColumns returns the result columns of a SELECT statement without a
// FROM clause.
func (e *evaluator) expressionColumns(x *pgquery.SelectStmt) []column {
	var out []column
	for _, target := range x.TargetList {
		c := e.describe(nil, target.GetResTarget())
		if f := target.GetResTarget().Val.GetFuncCall(); f != nil {
			c.name = functionName(f)
			if c.name == "generate_series" {
				c.oid = 20
			}
		}
		out = append(out, c)
	}
	return out
}

// executePortal handles an Execute message.
func (s *session) executePortal(m *pgproto3.Execute) error {
	o := s.portals[m.Portal]
	if o == nil {
		return newPgError("34000", "portal does not exist")
	}
	if o.statement.node == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	r, err := s.execute(o.statement.node, o.statement.text, o.params)
	if err != nil {
		return err
	}
	s.sendRows(r, o.formats)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}
