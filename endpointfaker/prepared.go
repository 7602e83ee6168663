package endpointfaker

import (
	lru "github.com/hashicorp/golang-lru/v2"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// cachedTrees is the number of syntax trees that are remembered.
const cachedTrees = 2048

// trees remembers syntax trees by text; a tree is never changed.
var trees = func() *lru.Cache[string, *pgquery.ParseResult] {
	c, err := lru.New[string, *pgquery.ParseResult](cachedTrees)
	if err != nil {
		panic(err)
	}
	return c
}()

// parse returns the syntax tree of a text.
func parse(text string) (*pgquery.ParseResult, error) {
	if t, ok := trees.Get(text); ok {
		return t, nil
	}
	t, err := pgquery.Parse(text)
	if err != nil {
		return nil, failure("42601", err.Error())
	}
	trees.Add(text, t)
	return t, nil
}

// prepared is a prepared statement.
type prepared struct {
	text   string
	node   *pgquery.Node
	params []uint32
}

// portal is a bound statement.
type portal struct {
	statement *prepared
	params    []Value
	formats   []int16
}
