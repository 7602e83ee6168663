package pooler

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// send writes a batch, preceded by what the connection needs.
func (c *conn) send(organisation string, b *Batch) (*errgroup.Group, error) {
	c.out = c.out[:0]
	c.expected = c.expected[:0]
	c.at = 0
	if organisation != c.organisation {
		c.setOrganisation(organisation)
	}
	c.makeRoom(len(b.Steps))
	for i := range b.Steps {
		if err := c.add(&b.Steps[i], b); err != nil {
			return nil, err
		}
	}
	group := &errgroup.Group{}
	if len(c.out) <= inlineBytes {
		_, err := c.net.Write(c.out)
		return group, err
	}
	group.Go(func() error {
		_, err := c.net.Write(c.out)
		return err
	})
	return group, nil
}

// setOrganisation tells the endpoint for which organisation the next statements run.
func (c *conn) setOrganisation(organisation string) {
	q := &pgproto3.Query{String: "set marigoldgauge.organisation = " + quote(organisation)}
	c.out = encode(c.out, q)
	c.expected = append(c.expected, expectation{kind: 'C', swallow: true}, expectation{kind: 'Z', swallow: true})
	c.organisation = organisation
}

// quote writes a text constant.
func quote(s string) string {
	out := []byte{'\''}
	for i := range len(s) {
		if s[i] == '\'' {
			out = append(out, '\'')
		}
		out = append(out, s[i])
	}
	return string(append(out, '\''))
}

// encode appends a message; messages built here always encode.
func encode(out []byte, m pgproto3.FrontendMessage) []byte {
	out, err := m.Encode(out)
	if err != nil {
		panic(err)
	}
	return out
}

// makeRoom closes all prepared statements when a batch could exceed the limit.
func (c *conn) makeRoom(steps int) {
	if len(c.prepared)+steps <= preparedLimit {
		return
	}
	for name := range c.prepared {
		c.out = encode(c.out, &pgproto3.Close{ObjectType: 'S', Name: name})
		c.expected = append(c.expected, expectation{kind: '3', swallow: true})
	}
	c.out = encode(c.out, &pgproto3.Sync{})
	c.expected = append(c.expected, expectation{kind: 'Z', swallow: true})
	clear(c.prepared)
}

// add sends one step.
func (c *conn) add(s *Step, b *Batch) error {
	switch s.Kind {
	case Parse:
		if c.prepared[s.Statement] {
			c.expected = append(c.expected, expectation{kind: '1', synthetic: true})
			return nil
		}
		c.expected = append(c.expected, expectation{kind: '1', statement: s.Statement})
	case Bind, DescribeStatement:
		if err := c.prepare(s.Statement, b); err != nil {
			return err
		}
		if s.Kind == Bind {
			c.expected = append(c.expected, expectation{kind: '2'})
		} else {
			c.expected = append(c.expected, expectation{kind: 't'}, expectation{kind: 'T'})
		}
	case DescribePortal:
		c.expected = append(c.expected, expectation{kind: 'T'})
	case CloseStatement:
		c.expected = append(c.expected, expectation{kind: '3', synthetic: true})
		return nil
	case ClosePortal:
		c.expected = append(c.expected, expectation{kind: '3'})
	case Execute:
		c.expected = append(c.expected, expectation{})
	case Flush:
	case Query, Sync:
		c.expected = append(c.expected, expectation{kind: 'Z'})
	}
	c.out = append(c.out, s.Raw...)
	return nil
}

// prepare sends the definition of a statement that the connection lacks.
func (c *conn) prepare(statement string, b *Batch) error {
	if c.prepared[statement] || c.pending(statement) {
		return nil
	}
	raw := b.definition(statement)
	if raw == nil {
		return eris.Errorf("statement %s has no definition", statement)
	}
	c.out = append(c.out, raw...)
	c.expected = append(c.expected, expectation{kind: '1', swallow: true, statement: statement})
	return nil
}

// pending reports whether the batch at hand prepares a statement already.
func (c *conn) pending(statement string) bool {
	for i := range c.expected {
		if c.expected[i].statement == statement {
			return true
		}
	}
	return false
}
