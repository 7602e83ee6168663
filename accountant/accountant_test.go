package accountant_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/accountant"
)

// Guards against a connection without a file descriptor that claims to have one, which then counts as closed.
func TestConnectionsHaveTheDescriptorsOfTheirs(t *testing.T) {
	plain, far := net.Pipe()
	defer func() { _, _ = plain.Close(), far.Close() }()
	tests := []struct {
		name string
		conn net.Conn
		want bool
	}{
		{"a pipe", plain, false},
		{"TCP", &net.TCPConn{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, ok := accountant.New().Conn(tt.conn, "a").(syscall.Conn)
			NewWithT(t).Expect(ok).To(Equal(tt.want))
		})
	}
}

func TestTotals(t *testing.T) {
	g := NewWithT(t)
	a := accountant.New()
	a.Sent("b", 10)
	a.Sent("b", 5)
	a.Received("a", 7)
	raw, err := io.ReadAll(a.Reader(strings.NewReader("xyz"), "c"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(raw).To(HaveLen(3))
	g.Expect(a.Totals()).To(Equal([]accountant.Traffic{
		{Purpose: "a", MessagesReceived: 1, BytesReceived: 7},
		{Purpose: "b", MessagesSent: 2, BytesSent: 15},
		{Purpose: "c", MessagesReceived: 1, BytesReceived: 3},
	}))
}

// The connections that are dialled and accepted count what passes in each direction.
func TestConnections(t *testing.T) {
	g := NewWithT(t)
	server, client := accountant.New(), accountant.New()
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l := server.Listener(raw, "units")
	var group errgroup.Group
	group.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		if _, err := io.ReadFull(c, make([]byte, 5)); err != nil {
			return err
		}
		_, err = c.Write([]byte("abc"))
		return err
	})
	c, err := net.Dial("tcp4", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	c = client.Conn(c, "units")
	_, err = c.Write([]byte("hello"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadFull(c, make([]byte, 3))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(group.Wait()).To(Succeed())
	g.Expect(c.Close()).To(Succeed())
	g.Expect(l.Close()).To(Succeed())
	g.Expect(client.Totals()).To(HaveLen(1))
	g.Expect(client.Totals()[0].BytesSent).To(BeEquivalentTo(5))
	g.Expect(client.Totals()[0].BytesReceived).To(BeEquivalentTo(3))
	g.Expect(server.Totals()[0].BytesSent).To(BeEquivalentTo(3))
	g.Expect(server.Totals()[0].BytesReceived).To(BeEquivalentTo(5))
}

// Components without an accountant count nothing.
func TestNoAccountant(t *testing.T) {
	var a *accountant.Accountant
	a.Sent("x", 1)
	NewWithT(t).Expect(a.Totals()).To(BeEmpty())
}
