package simulator_test

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
	"github.com/xdg-go/scram"

	"github.com/marigoldgauge/marigoldgauge/simulator"
)

// update makes the test rewrite its golden file.
var update = flag.Bool("update", false, "rewrite the golden files")

// transcript is a minimal protocol client that records all messages.
type transcript struct {
	g        *WithT
	lines    []string
	frontend *pgproto3.Frontend
	conn     net.Conn
	token    string
	key      string
	id       string
}

// open connects to a VM and authenticates.
func (x *transcript) open(ctx context.Context, f *simulator.Fleet, vm string, parameters map[string]string) {
	conn, err := f.Network.Dialer(simulator.ClientHost)(ctx, "tcp", f.VM(vm).ClientAddress.String())
	x.g.Expect(err).NotTo(HaveOccurred())
	x.conn, x.frontend = conn, pgproto3.NewFrontend(conn, conn)
	x.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	client, err := scram.SHA256.NewClient("", x.key, "")
	x.g.Expect(err).NotTo(HaveOccurred())
	conversation := client.NewConversation()
	for {
		m := x.receive()
		switch m := m.(type) {
		case *pgproto3.AuthenticationSASL:
			first, err := conversation.Step("")
			x.g.Expect(err).NotTo(HaveOccurred())
			x.send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)})
		case *pgproto3.AuthenticationSASLContinue:
			next, err := conversation.Step(string(m.Data))
			x.g.Expect(err).NotTo(HaveOccurred())
			x.send(&pgproto3.SASLResponse{Data: []byte(next)})
		case *pgproto3.ReadyForQuery, *pgproto3.ErrorResponse:
			return
		}
	}
}

// exchange sends messages and receives responses up to ReadyForQuery.
func (x *transcript) exchange(messages ...pgproto3.FrontendMessage) {
	x.send(messages...)
	for {
		if _, ready := x.receive().(*pgproto3.ReadyForQuery); ready {
			return
		}
	}
}

// send sends and records messages.
func (x *transcript) send(messages ...pgproto3.FrontendMessage) {
	for _, m := range messages {
		x.frontend.Send(m)
		x.lines = append(x.lines, "caller  "+x.describe(m))
	}
	x.g.Expect(x.frontend.Flush()).To(Succeed())
}

// receive receives and records a message.
func (x *transcript) receive() pgproto3.BackendMessage {
	m, err := x.frontend.Receive()
	x.g.Expect(err).NotTo(HaveOccurred())
	x.lines = append(x.lines, "proxy   "+x.describe(m))
	return m
}

// describe formats a message without the parts that differ between runs.
func (x *transcript) describe(m any) string {
	name := strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3.")
	switch m := m.(type) {
	case *pgproto3.StartupMessage:
		return fmt.Sprintf("%s user=%s database=%s session=%t", name, m.Parameters["user"], m.Parameters["database"], m.Parameters["marigoldgauge.session"] != "")
	case *pgproto3.ParameterStatus:
		if m.Name == "marigoldgauge.session" {
			x.token = m.Value
			return name + " marigoldgauge.session=(token)"
		}
		return name + " " + m.Name + "=" + m.Value
	case *pgproto3.AuthenticationSASL:
		return name + " " + strings.Join(m.AuthMechanisms, ",")
	case *pgproto3.Query:
		return name + " " + m.String
	case *pgproto3.Parse:
		return name + " " + m.Name + " " + m.Query
	case *pgproto3.Bind:
		return name + " " + m.PreparedStatement
	case *pgproto3.RowDescription:
		return fmt.Sprintf("%s %d columns", name, len(m.Fields))
	case *pgproto3.DataRow:
		var values []string
		for _, v := range m.Values {
			values = append(values, string(v))
		}
		return name + " " + strings.Join(values, "|")
	case *pgproto3.CommandComplete:
		return name + " " + string(m.CommandTag)
	case *pgproto3.ReadyForQuery:
		return fmt.Sprintf("%s %c", name, m.TxStatus)
	case *pgproto3.ErrorResponse:
		return fmt.Sprintf("%s %s %s %q detail=%q hint=%t", name, m.Severity, m.Code, m.Message, m.Detail, m.Hint != "")
	default:
		return name
	}
}

// A complete session over two proxies produces the same messages as the golden
// file: connect, write, reconnect elsewhere, read, error, transaction, close.
func TestGoldenSession(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		x := &transcript{g: g, id: simulator.KeyID("university-1"), key: f.Keys["university-1"]}
		x.open(ctx, f, "vm-1", map[string]string{"user": x.id, "database": "members-1"})
		x.exchange(&pgproto3.Query{String: "insert into seats (id, body) values (1, 'tour')"})
		x.send(&pgproto3.Terminate{})
		x.lines = append(x.lines, "-- roams to another proxy")
		x.open(ctx, f, "vm-4", map[string]string{"user": x.id, "database": "members-1", "marigoldgauge.session": x.token})
		x.exchange(&pgproto3.Query{String: "select body from seats where id = 1"})
		x.exchange(
			&pgproto3.Parse{Name: "named", Query: "select body from seats where id = $1"},
			&pgproto3.Describe{ObjectType: 'S', Name: "named"},
			&pgproto3.Sync{},
		)
		x.exchange(
			&pgproto3.Bind{PreparedStatement: "named", Parameters: [][]byte{[]byte("1")}},
			&pgproto3.Describe{ObjectType: 'P'},
			&pgproto3.Execute{},
			&pgproto3.Sync{},
		)
		x.exchange(&pgproto3.Close{ObjectType: 'S', Name: "named"}, &pgproto3.Sync{})
		x.exchange(&pgproto3.Query{String: "select body from nowhere"})
		x.exchange(&pgproto3.Query{String: "listen changes"})
		x.exchange(&pgproto3.Query{String: "begin"})
		x.exchange(&pgproto3.Query{String: "insert into seats (id, body) values (2, 'lecture')"})
		x.exchange(&pgproto3.Query{String: "select broken from seats"})
		x.exchange(&pgproto3.Query{String: "commit"})
		x.exchange(&pgproto3.Query{String: "select count(*) from seats"})
		x.exchange(&pgproto3.Query{String: ""})
		x.exchange(&pgproto3.Bind{PreparedStatement: "unknown"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		x.exchange(&pgproto3.Query{String: "set marigoldgauge.session = 'forged'"})
		x.send(&pgproto3.Terminate{})

		x.lines = append(x.lines, "-- a wrong key")
		x.key = "wrong"
		x.open(ctx, f, "vm-2", map[string]string{"user": x.id, "database": "members-1"})

		got := strings.Join(x.lines, "\n") + "\n"
		if *update {
			g.Expect(os.WriteFile("testdata/session.golden", []byte(got), 0o644)).To(Succeed())
		}
		want, err := os.ReadFile("testdata/session.golden")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(string(want)))
	})
}
