package connector_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/preparer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// scriptedInstance answers statements with a function and records them.
type scriptedInstance struct {
	instance
	answer func(s modeller.Statement) modeller.Result
	sent   []modeller.Statement
}

func (i *scriptedInstance) Dial(context.Context, connector.Target, string) (connector.Conn, error) {
	return &scriptedConn{conn: conn{i: &i.instance}, instance: i}, nil
}

// scriptedConn is a connection to a scriptedInstance.
type scriptedConn struct {
	conn
	instance *scriptedInstance
}

func (c *scriptedConn) Exchange(_ context.Context, s modeller.Statement) (modeller.Response, error) {
	c.instance.sent = append(c.instance.sent, s)
	return modeller.Response{Result: c.instance.answer(s)}, nil
}

// withConn runs a test with a connection to an instance.
func withConn(t *testing.T, answer func(s modeller.Statement) modeller.Result, test func(g *WithT, i *scriptedInstance, p *connector.Pool, c *connector.PooledConn)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		i := &scriptedInstance{answer: answer}
		p := connector.NewPool(connector.Target{}, i, timekeeper.ClockFunc(time.Now), connector.NewBounds(8, 1))
		c, err := p.Acquire(context.Background(), "o", 1, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		test(g, i, p, c)
		c.Release(time.Now(), false)
		p.Close()
		p.Wait()
	})
}

// done answers each statement with success.
func done(modeller.Statement) modeller.Result { return modeller.Done }

// Guards against definitions that stay at an instance for the life of a connection, and against one that runs
// in place of another.
func TestPreparedStatementsOfAConnectionAreBounded(t *testing.T) {
	withConn(t, done, func(g *WithT, i *scriptedInstance, p *connector.Pool, c *connector.PooledConn) {
		held := map[string]string{}
		for n := range 3 * preparer.MaxStatements {
			text := strings.Repeat("x", n%700)
			d := preparer.NewDigest(text)
			i.sent = nil
			_, err := c.Prepare(context.Background(), d, n%2 == 0, text)
			g.Expect(err).NotTo(HaveOccurred())
			for _, s := range i.sent {
				if s.Kind == modeller.Deallocate {
					g.Expect(held).To(HaveKey(s.Name))
					delete(held, s.Name)
					continue
				}
				g.Expect(held).NotTo(HaveKey(s.Name))
				held[s.Name] = s.Arguments
			}
			g.Expect(len(held)).To(BeNumerically("<=", preparer.MaxStatements))
			g.Expect(held[c.PreparedName(d)] == text).To(BeTrue())
		}
		st := p.Stats()
		g.Expect(st.Prepared - st.Deallocated).To(BeEquivalentTo(len(held)))
		g.Expect(st.Deallocated).To(BeNumerically(">", 0))
	})
}

// Guards against statements that are taken for prepared though the instance has dropped them, or never had them.
func TestDroppedStatementsArePreparedAgain(t *testing.T) {
	ctx := context.Background()
	d := preparer.NewDigest("q")
	tests := []struct {
		name string
		drop func(c *connector.PooledConn) error
	}{
		{"the instance says that it does not know one", func(c *connector.PooledConn) error {
			c.ForgetPrepared(d)
			return nil
		}},
		{"session values are discarded", func(c *connector.PooledConn) error {
			if err := c.ApplySession(ctx, map[string]string{"a": "b"}); err != nil {
				return err
			}
			return c.ApplySession(ctx, nil)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withConn(t, done, func(g *WithT, i *scriptedInstance, _ *connector.Pool, c *connector.PooledConn) {
				_, err := c.Prepare(ctx, d, false, "q")
				g.Expect(err).NotTo(HaveOccurred())
				first := c.PreparedName(d)
				g.Expect(tt.drop(c)).To(Succeed())
				g.Expect(c.PreparedName(d)).To(BeEmpty())
				_, err = c.Prepare(ctx, d, false, "q")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(c.PreparedName(d)).NotTo(Or(BeEmpty(), Equal(first)))
				g.Expect(i.sent[len(i.sent)-1].Kind).To(Equal(modeller.Prepare))
			})
		})
	}
}

// Guards against a refusal of a caller's definition that counts as a failure of the instance.
func TestRefusedDefinitions(t *testing.T) {
	tests := []struct {
		name       string
		result     modeller.Result
		statements bool
	}{
		{"it does not understand the statement", modeller.ProtocolError, true},
		{"it fails", modeller.Failed, false},
		{"it is busy", modeller.Busy, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withConn(t, func(modeller.Statement) modeller.Result { return tt.result }, func(g *WithT, _ *scriptedInstance, _ *connector.Pool, c *connector.PooledConn) {
				d := preparer.NewDigest("q")
				_, err := c.Prepare(context.Background(), d, false, "q")
				var refused *connector.StatementError
				g.Expect(err).To(HaveOccurred())
				if tt.statements {
					g.Expect(err).To(BeAssignableToTypeOf(refused))
				} else {
					g.Expect(err).NotTo(BeAssignableToTypeOf(refused))
				}
				g.Expect(c.PreparedName(d)).To(BeEmpty())
			})
		})
	}
}
