package endpointfaker

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// evaluator runs one statement within a transaction.
type evaluator struct {
	session *session
	tx      *transaction
	params  []Value
	texts   []string
}

// statement executes a statement other than transaction control.
func (e *evaluator) statement(n *pgquery.Node) (result, error) {
	switch s := n.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		return e.selectRows(s.SelectStmt)
	case *pgquery.Node_InsertStmt:
		return e.insertRows(s.InsertStmt)
	case *pgquery.Node_UpdateStmt:
		return e.updateRows(s.UpdateStmt)
	case *pgquery.Node_DeleteStmt:
		return e.deleteRows(s.DeleteStmt)
	case *pgquery.Node_CreateStmt:
		return e.createTable(s.CreateStmt)
	case *pgquery.Node_VariableSetStmt:
		return e.setVariable(s.VariableSetStmt), nil
	case *pgquery.Node_VariableShowStmt:
		name := s.VariableShowStmt.Name
		return result{columns: []column{{name, pgtype.TextOID}}, rows: [][]Value{{text(e.session.settings[name])}}, tag: "SHOW"}, nil
	default:
		return result{}, newPgError("0A000", "the stand-in does not know this statement")
	}
}

// setVariable changes a session setting.
func (e *evaluator) setVariable(s *pgquery.VariableSetStmt) result {
	value := ""
	if len(s.Args) > 0 {
		value = s.Args[0].GetAConst().GetSval().GetSval()
	}
	e.session.settings[s.Name] = value
	return result{tag: "SET"}
}

// createTable executes a CREATE TABLE statement.
func (e *evaluator) createTable(s *pgquery.CreateStmt) (result, error) {
	if err := e.tx.acquireWriteLock(e.session.done); err != nil {
		return result{}, err
	}
	name := s.Relation.Relname
	if _, err := e.tx.read(name); err == nil {
		if s.IfNotExists {
			return result{tag: "CREATE TABLE"}, nil
		}
		return result{}, newPgError("42P07", "relation \""+name+"\" already exists")
	}
	var columns []column
	for _, n := range s.TableElts {
		d := n.GetColumnDef()
		if d == nil {
			continue
		}
		names := d.TypeName.Names
		oid := uint32(pgtype.TextOID)
		if strings.HasPrefix(names[len(names)-1].GetString_().GetSval(), "int") {
			oid = pgtype.Int8OID
		}
		columns = append(columns, column{name: d.Colname, oid: oid})
	}
	e.tx.tables[name] = &table{columns: columns, rows: map[int64][]Value{}}
	e.tx.operations = append(e.tx.operations, operation{table: name, create: columns})
	return result{tag: "CREATE TABLE", wrote: true}, nil
}

// insertRows executes an INSERT statement.
func (e *evaluator) insertRows(s *pgquery.InsertStmt) (result, error) {
	t, err := e.tx.write(s.Relation.Relname, e.session.done)
	if err != nil {
		return result{}, err
	}
	var written [][]Value
	for _, list := range s.SelectStmt.GetSelectStmt().GetValuesLists() {
		values := make([]Value, len(t.columns))
		for n := range values {
			values[n] = null
		}
		for n, item := range list.GetList().Items {
			v, err := e.expression(item, t, nil)
			if err != nil {
				return result{}, err
			}
			at := n
			if len(s.Cols) > 0 {
				at = t.index(s.Cols[n].GetResTarget().Name)
			}
			if at < 0 || at >= len(values) {
				return result{}, newPgError("42703", "no such column")
			}
			values[at] = v
		}
		t.nextRow++
		e.tx.record(s.Relation.Relname, t.nextRow, values)
		written = append(written, values)
	}
	return e.returnRows(t, written, s.ReturningList, "INSERT 0 "+strconv.Itoa(len(written)))
}

// updateRows executes an UPDATE statement.
func (e *evaluator) updateRows(s *pgquery.UpdateStmt) (result, error) {
	t, err := e.tx.write(s.Relation.Relname, e.session.done)
	if err != nil {
		return result{}, err
	}
	rows, err := e.matchingRows(t, s.WhereClause)
	if err != nil {
		return result{}, err
	}
	var written [][]Value
	for _, row := range rows {
		values := append([]Value(nil), t.rows[row]...)
		for _, target := range s.TargetList {
			v, err := e.expression(target.GetResTarget().Val, t, t.rows[row])
			if err != nil {
				return result{}, err
			}
			at := t.index(target.GetResTarget().Name)
			if at < 0 {
				return result{}, newPgError("42703", "no such column")
			}
			values[at] = v
		}
		e.tx.record(s.Relation.Relname, row, values)
		written = append(written, values)
	}
	return e.returnRows(t, written, s.ReturningList, "UPDATE "+strconv.Itoa(len(written)))
}

// deleteRows executes a DELETE statement.
func (e *evaluator) deleteRows(s *pgquery.DeleteStmt) (result, error) {
	t, err := e.tx.write(s.Relation.Relname, e.session.done)
	if err != nil {
		return result{}, err
	}
	rows, err := e.matchingRows(t, s.WhereClause)
	if err != nil {
		return result{}, err
	}
	for _, row := range rows {
		e.tx.record(s.Relation.Relname, row, nil)
	}
	return result{tag: "DELETE " + strconv.Itoa(len(rows)), wrote: len(rows) > 0}, nil
}

// returnRows builds the result of a write, including the rows of its RETURNING list.
func (e *evaluator) returnRows(t *table, rows [][]Value, list []*pgquery.Node, tag string) (result, error) {
	r := result{tag: tag, wrote: len(rows) > 0}
	if len(list) == 0 {
		return r, nil
	}
	selected, err := e.project(t, rows, list)
	r.columns, r.rows = selected.columns, selected.rows
	return r, err
}

// selectRows executes a SELECT statement.
func (e *evaluator) selectRows(s *pgquery.SelectStmt) (result, error) {
	if len(s.LockingClause) > 0 {
		if err := e.tx.acquireWriteLock(e.session.done); err != nil {
			return result{}, err
		}
	}
	if len(s.FromClause) == 0 {
		return e.selectExpressions(s)
	}
	t, err := e.tx.read(s.FromClause[0].GetRangeVar().GetRelname())
	if err != nil {
		return result{}, err
	}
	numbers, err := e.matchingRows(t, s.WhereClause)
	if err != nil {
		return result{}, err
	}
	rows := make([][]Value, 0, len(numbers))
	for _, n := range numbers {
		rows = append(rows, t.rows[n])
	}
	return e.project(t, rows, s.TargetList)
}

// project evaluates a target list for each row.
func (e *evaluator) project(t *table, rows [][]Value, list []*pgquery.Node) (result, error) {
	if c := list[0].GetResTarget().Val.GetFuncCall(); c != nil && functionName(c) == "count" {
		return result{columns: []column{{"count", pgtype.Int8OID}}, rows: [][]Value{{integer(int64(len(rows)))}}, tag: "SELECT 1"}, nil
	}
	r := result{tag: "SELECT " + strconv.Itoa(len(rows)), rows: make([][]Value, len(rows))}
	for _, target := range list {
		val := target.GetResTarget().Val
		if fields := val.GetColumnRef().GetFields(); len(fields) > 0 && fields[len(fields)-1].GetAStar() != nil {
			r.columns = append(r.columns, t.columns...)
			for n := range rows {
				r.rows[n] = append(r.rows[n], rows[n]...)
			}
			continue
		}
		r.columns = append(r.columns, e.describe(t, target.GetResTarget()))
		for n := range rows {
			v, err := e.expression(val, t, rows[n])
			if err != nil {
				return result{}, err
			}
			r.rows[n] = append(r.rows[n], v)
		}
	}
	return r, nil
}

// describe returns the name and type of the column that a target yields.
func (e *evaluator) describe(t *table, target *pgquery.ResTarget) column {
	c := column{name: target.Name, oid: pgtype.TextOID}
	if ref := target.Val.GetColumnRef(); ref != nil && t != nil {
		name := ref.Fields[len(ref.Fields)-1].GetString_().GetSval()
		if at := t.index(name); at >= 0 {
			c.oid = t.columns[at].oid
		}
		if c.name == "" {
			c.name = name
		}
	}
	if k := target.Val.GetAConst(); k.GetIval() != nil {
		c.oid = pgtype.Int8OID
	}
	if c.name == "" {
		c.name = "?column?"
	}
	return c
}

// selectExpressions executes a SELECT statement without a FROM clause.
func (e *evaluator) selectExpressions(s *pgquery.SelectStmt) (result, error) {
	if len(s.TargetList) == 1 {
		if c := s.TargetList[0].GetResTarget().Val.GetFuncCall(); c != nil {
			return e.function(c)
		}
	}
	r := result{tag: "SELECT 1", rows: [][]Value{nil}}
	for _, target := range s.TargetList {
		v, err := e.expression(target.GetResTarget().Val, nil, nil)
		if err != nil {
			return result{}, err
		}
		r.columns = append(r.columns, e.describe(nil, target.GetResTarget()))
		r.rows[0] = append(r.rows[0], v)
	}
	return r, nil
}

// functionName returns the unqualified name of a function.
func functionName(c *pgquery.FuncCall) string {
	return c.Funcname[len(c.Funcname)-1].GetString_().GetSval()
}

// function executes a query that consists of one function call.
func (e *evaluator) function(c *pgquery.FuncCall) (result, error) {
	args := make([]Value, 0, len(c.Args))
	for _, a := range c.Args {
		v, err := e.expression(a, nil, nil)
		if err != nil {
			return result{}, err
		}
		args = append(args, v)
	}
	name := functionName(c)
	one := func(v Value, oid uint32) result {
		return result{columns: []column{{name, oid}}, rows: [][]Value{{v}}, tag: "SELECT 1"}
	}
	switch {
	case strings.HasPrefix(name, "marigoldgauge_"):
		return e.session.instance.callControlFunction(time.Now(), name, args)
	case name == "pg_sleep" && len(args) == 1:
		return one(text(""), pgtype.TextOID), e.session.sleep(args[0])
	case name == "current_setting" && len(args) >= 1:
		return one(text(e.session.settings[args[0].String()]), pgtype.TextOID), nil
	case name == "generate_series" && len(args) == 2:
		r := result{columns: []column{{name, pgtype.Int8OID}}}
		for n := args[0].number(); n <= args[1].number(); n++ {
			r.rows = append(r.rows, []Value{integer(n)})
		}
		r.tag = "SELECT " + strconv.Itoa(len(r.rows))
		return r, nil
	default:
		return result{}, newPgError("42883", "the stand-in does not know the function "+name)
	}
}
