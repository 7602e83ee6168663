package pooler

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// send writes a batch, preceded by the messages that prepare the connection for
// it. The returned group ends when the whole batch has been written.
func (c *conn) send(organisation string, b *Batch) (*errgroup.Group, error) {
	c.out = c.out[:0]
	c.expected = c.expected[:0]
	c.expectedIndex = 0
	if organisation != c.organisation {
		c.setOrganisation(organisation)
	}
	c.closePreparedAtLimit(len(b.Steps))
	for i := range b.Steps {
		if err := c.addStep(&b.Steps[i], b); err != nil {
			return nil, err
		}
	}
	group := &errgroup.Group{}
	if len(c.out) <= maxInlineBytes {
		_, err := c.net.Write(c.out)
		return group, err
	}
	group.Go(func() error {
		_, err := c.net.Write(c.out)
		return err
	})
	return group, nil
}

// setOrganisation appends a statement that sets the organisation of the following
// statements at the endpoint.
func (c *conn) setOrganisation(organisation string) {
	q := &pgproto3.Query{String: "set marigoldgauge.organisation = " + quoteLiteral(organisation)}
	c.out = encode(c.out, q)
	c.expected = append(c.expected, expectedMessage{kind: 'C', discard: true}, expectedMessage{kind: 'Z', discard: true})
	c.organisation = organisation
}

// quoteLiteral quotes a string as an SQL literal.
func quoteLiteral(s string) string {
	out := []byte{'\''}
	for i := range len(s) {
		if s[i] == '\'' {
			out = append(out, '\'')
		}
		out = append(out, s[i])
	}
	return string(append(out, '\''))
}

// encode appends an encoded message. It panics on error, since messages built by
// this package can always be encoded.
func encode(out []byte, m pgproto3.FrontendMessage) []byte {
	out, err := m.Encode(out)
	if err != nil {
		panic(err)
	}
	return out
}

// closePreparedAtLimit closes all prepared statements if a batch could exceed maxPrepared.
func (c *conn) closePreparedAtLimit(steps int) {
	if len(c.prepared)+steps <= maxPrepared {
		return
	}
	for name := range c.prepared {
		c.out = encode(c.out, &pgproto3.Close{ObjectType: 'S', Name: name})
		c.expected = append(c.expected, expectedMessage{kind: '3', discard: true})
	}
	c.out = encode(c.out, &pgproto3.Sync{})
	c.expected = append(c.expected, expectedMessage{kind: 'Z', discard: true})
	clear(c.prepared)
}

// addStep appends one step to the output and its completions to the expected messages.
func (c *conn) addStep(s *Step, b *Batch) error {
	switch s.Kind {
	case Parse:
		if c.prepared[s.Statement] {
			c.expected = append(c.expected, expectedMessage{kind: '1', synthetic: true})
			return nil
		}
		c.expected = append(c.expected, expectedMessage{kind: '1', statement: s.Statement})
	case Bind, DescribeStatement:
		if err := c.prepareStatement(s.Statement, b); err != nil {
			return err
		}
		if s.Kind == Bind {
			c.expected = append(c.expected, expectedMessage{kind: '2'})
		} else {
			c.expected = append(c.expected, expectedMessage{kind: 't'}, expectedMessage{kind: 'T'})
		}
	case DescribePortal:
		c.expected = append(c.expected, expectedMessage{kind: 'T'})
	case CloseStatement:
		c.expected = append(c.expected, expectedMessage{kind: '3', synthetic: true})
		return nil
	case ClosePortal:
		c.expected = append(c.expected, expectedMessage{kind: '3'})
	case Execute:
		c.expected = append(c.expected, expectedMessage{})
	case Flush:
	case Query, Sync:
		c.expected = append(c.expected, expectedMessage{kind: 'Z'})
	}
	c.out = append(c.out, s.Raw...)
	return nil
}

// prepareStatement appends the Parse message of a statement that is not yet
// prepared on the connection.
func (c *conn) prepareStatement(statement string, b *Batch) error {
	if c.prepared[statement] || c.isPreparing(statement) {
		return nil
	}
	raw := b.parseMessage(statement)
	if raw == nil {
		return eris.Errorf("statement %s has no definition", statement)
	}
	c.out = append(c.out, raw...)
	c.expected = append(c.expected, expectedMessage{kind: '1', discard: true, statement: statement})
	return nil
}

// isPreparing reports whether the current batch already prepares a statement.
func (c *conn) isPreparing(statement string) bool {
	for i := range c.expected {
		if c.expected[i].statement == statement {
			return true
		}
	}
	return false
}
