// Package classifier parses SQL texts and classifies them as reads, writes,
// transaction control, or statements that connection pooling does not support.
package classifier

import (
	"strings"

	lru "github.com/hashicorp/golang-lru/v2"
	pgquery "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// maxCachedTexts is the capacity of the cache, in statement texts.
	maxCachedTexts = 8192
	// maxCachedTextBytes is the length of the longest text that is cached.
	maxCachedTextBytes = 16 << 10
	// SessionSetting is the name of the setting that carries the session token.
	SessionSetting = "marigoldgauge.session"
)

// Classifier classifies statement texts. It is safe for concurrent use.
type Classifier struct {
	cache *lru.Cache[string, Class]
}

// New returns a Classifier with an empty cache.
func New() *Classifier {
	cache, err := lru.New[string, Class](maxCachedTexts)
	if err != nil {
		panic(err)
	}
	return &Classifier{cache: cache}
}

// Classify returns the class of a text. A text that does not parse is
// classified as a write, so that the primary responds with the syntax error.
func (c *Classifier) Classify(text string) Class {
	if class, ok := c.cache.Get(text); ok {
		return class
	}
	class := classify(text)
	if len(text) <= maxCachedTextBytes {
		c.cache.Add(strings.Clone(text), class)
	}
	return class
}

// classify parses a text and combines the classes of its statements.
func classify(text string) Class {
	tree, err := pgquery.Parse(text)
	if err != nil {
		return Class{Kind: Write}
	}
	class := Class{Kind: Empty}
	for _, s := range tree.Stmts {
		class = class.combine(classifyStatement(s.Stmt))
	}
	return class
}

// refusedClass returns the class of a statement that pooling does not support.
func refusedClass(reason string) Class {
	return Class{Kind: Refused, Reason: reason}
}

// classifyStatement classifies a single statement.
func classifyStatement(n *pgquery.Node) Class {
	switch s := n.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		return classifySelect(n, s.SelectStmt)
	case *pgquery.Node_TransactionStmt:
		return classifyTransaction(s.TransactionStmt)
	case *pgquery.Node_VariableSetStmt:
		return classifySet(s.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		return Class{Kind: Read}
	case *pgquery.Node_ExplainStmt:
		return classifyStatement(s.ExplainStmt.Query)
	case *pgquery.Node_DeclareCursorStmt:
		if class := classifyWrite(s.DeclareCursorStmt.Query); class.Kind == Refused {
			return class
		}
		return Class{Kind: InTransaction}
	case *pgquery.Node_FetchStmt, *pgquery.Node_ClosePortalStmt, *pgquery.Node_ConstraintsSetStmt:
		return Class{Kind: InTransaction}
	case *pgquery.Node_CopyStmt:
		return refusedClass("COPY is not supported")
	case *pgquery.Node_ListenStmt, *pgquery.Node_UnlistenStmt:
		return refusedClass("LISTEN needs a connection of its own")
	case *pgquery.Node_PrepareStmt, *pgquery.Node_ExecuteStmt, *pgquery.Node_DeallocateStmt:
		return refusedClass("prepare through the extended protocol instead")
	case *pgquery.Node_DoStmt:
		return refusedClass("what a DO block changes cannot be told")
	case *pgquery.Node_DiscardStmt, *pgquery.Node_LoadStmt:
		return refusedClass("the statement changes the state of a shared connection")
	case *pgquery.Node_CreateStmt:
		return classifyRelation(n, s.CreateStmt.Relation)
	case *pgquery.Node_CreateTableAsStmt:
		return classifyRelation(n, s.CreateTableAsStmt.Into.GetRel())
	case *pgquery.Node_ViewStmt:
		return classifyRelation(n, s.ViewStmt.View)
	default:
		return classifyWrite(n)
	}
}

// classifyRelation classifies a statement that creates a relation. Temporary relations
// are refused: they are bound to one connection.
func classifyRelation(n *pgquery.Node, r *pgquery.RangeVar) Class {
	if r.GetRelpersistence() == "t" {
		return refusedClass("temporary relations need a connection of their own")
	}
	return classifyWrite(n)
}

// classifyWrite classifies a statement that writes.
func classifyWrite(n *pgquery.Node) Class {
	f := scan(n.ProtoReflect())
	if f.sessionFunction != "" {
		return refusedClass(f.sessionFunction + " needs a connection of its own")
	}
	return Class{Kind: Write}
}

// classifySelect classifies a SELECT.
func classifySelect(n *pgquery.Node, s *pgquery.SelectStmt) Class {
	if into := s.GetIntoClause(); into != nil {
		return classifyRelation(n, into.GetRel())
	}
	f := scan(n.ProtoReflect())
	switch {
	case f.sessionFunction != "":
		return refusedClass(f.sessionFunction + " needs a connection of its own")
	case f.writes:
		return Class{Kind: Write}
	default:
		return Class{Kind: Read}
	}
}

// classifyTransaction classifies transaction control.
func classifyTransaction(s *pgquery.TransactionStmt) Class {
	switch s.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		for _, o := range s.Options {
			d := o.GetDefElem()
			if d.GetDefname() == "transaction_read_only" && d.GetArg().GetAConst().GetIval().GetIval() == 1 {
				return Class{Kind: BeginReadOnly}
			}
		}
		return Class{Kind: Begin}
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT, pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return Class{Kind: End}
	case pgquery.TransactionStmtKind_TRANS_STMT_SAVEPOINT, pgquery.TransactionStmtKind_TRANS_STMT_RELEASE, pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		return Class{Kind: InTransaction}
	default:
		return refusedClass("two-phase commit is not supported")
	}
}

// classifySet classifies SET and RESET.
func classifySet(s *pgquery.VariableSetStmt) Class {
	// PostgreSQL compares names of settings regardless of case, also quoted ones.
	name := strings.ToLower(s.Name)
	switch {
	case s.Name == SessionSetting && s.Kind == pgquery.VariableSetKind_VAR_SET_VALUE && len(s.Args) == 1:
		return Class{Kind: SetSession, Token: s.Args[0].GetAConst().GetSval().GetSval()}
	case strings.HasPrefix(name, "marigoldgauge."):
		return refusedClass("the setting " + s.Name + " belongs to the proxy")
	case identitySettings[name]:
		return refusedClass("the identity " + s.Name + " belongs to the proxy")
	case s.IsLocal || s.Name == "TRANSACTION":
		return Class{Kind: InTransaction}
	default:
		return refusedClass("SET changes the state of a shared connection; use SET LOCAL in a transaction")
	}
}

// scanResult is the result of scanning a syntax tree.
type scanResult struct {
	writes          bool
	sessionFunction string
}

// scan walks a syntax tree and looks for function calls, row locks and nested writes.
func scan(m protoreflect.Message) scanResult {
	var f scanResult
	f.visit(m)
	return f
}

// visit scans a message and its fields recursively.
func (f *scanResult) visit(m protoreflect.Message) {
	switch n := m.Interface().(type) {
	case *pgquery.FuncCall:
		f.visitCall(n)
	case *pgquery.UpdateStmt:
		f.writes = true
		if n.GetRelation().GetRelname() == settingsView {
			f.sessionFunction = settingsView
		}
	case *pgquery.LockingClause, *pgquery.InsertStmt, *pgquery.DeleteStmt, *pgquery.MergeStmt:
		f.writes = true
	}
	m.Range(func(d protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if d.Kind() != protoreflect.MessageKind {
			return true
		}
		if d.IsList() {
			for i := range v.List().Len() {
				f.visit(v.List().Get(i).Message())
			}
			return true
		}
		f.visit(v.Message())
		return true
	})
}

// visitCall records a function call. A function that is not listed in readFunctions
// counts as a write.
func (f *scanResult) visitCall(c *pgquery.FuncCall) {
	if len(c.Funcname) == 0 {
		return
	}
	name := strings.ToLower(c.Funcname[len(c.Funcname)-1].GetString_().GetSval())
	switch {
	case sessionFunctions[name]:
		f.sessionFunction = name
	case !readFunctions[name]:
		f.writes = true
	}
}
