package endpointfaker

import (
	lru "github.com/hashicorp/golang-lru/v2"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// treeCacheSize is the maximum number of cached syntax trees.
const treeCacheSize = 2048

// treeCache caches syntax trees by statement text; a cached tree is immutable.
var treeCache = func() *lru.Cache[string, *pgquery.ParseResult] {
	c, err := lru.New[string, *pgquery.ParseResult](treeCacheSize)
	if err != nil {
		panic(err)
	}
	return c
}()

// parse returns the syntax tree of an SQL text.
func parse(text string) (*pgquery.ParseResult, error) {
	if t, ok := treeCache.Get(text); ok {
		return t, nil
	}
	t, err := pgquery.Parse(text)
	if err != nil {
		return nil, newPgError("42601", err.Error())
	}
	treeCache.Add(text, t)
	return t, nil
}

// preparedStatement is a prepared statement.
type preparedStatement struct {
	text   string
	node   *pgquery.Node
	params []uint32
}

// portal is a prepared statement bound to parameters.
type portal struct {
	statement *preparedStatement
	params    []Value
	formats   []int16
}
