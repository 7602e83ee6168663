package acceptor_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/acceptor"
	"github.com/marigoldgauge/marigoldgauge/authenticator"
	"github.com/marigoldgauge/marigoldgauge/classifier"
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/recorder"
	"github.com/marigoldgauge/marigoldgauge/signer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// failingOpener is an Opener that fails the test when it is used.
type failingOpener struct{ t *testing.T }

func (r failingOpener) Open(pooler.WorkSpec) acceptor.Work {
	r.t.Error("an unauthenticated client opened a unit of work")
	return nil
}

// singleListener is a listener that accepts one connection.
type singleListener struct {
	conn chan net.Conn
	done chan struct{}
}

func (l singleListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l singleListener) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

func (l singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzStartup sends arbitrary bytes as a start-up exchange. The exchange must
// end, and no unauthenticated client may run a statement.
func FuzzStartup(f *testing.F) {
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "k", "database": "d"}}).Encode(nil)
	if err != nil {
		f.Fatal(err)
	}
	query, err := (&pgproto3.Query{String: "select 1"}).Encode(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(startup)
	f.Add(append(startup, query...))
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Add([]byte{0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2})
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, raw []byte) {
		a := acceptor.New(acceptor.Dependencies{
			Settings:      acceptor.Settings{VM: "vm-1", StartupTimeout: time.Second, WriteTimeout: time.Second, MaxMessageBytes: 1 << 20},
			Clock:         timekeeper.ClockFunc(time.Now),
			Configuration: configurator.NewLog(),
			Opener:        failingOpener{t},
			Classifier:    classifier.New(),
			Authenticator: authenticator.New([]byte("decoy-of-the-fuzz-test")),
			Signer:        signer.New([]signer.Secret{{ID: "s", Value: []byte("secret-of-the-fuzz-test")}}),
			Recorder:      recorder.New(nil),
		})
		client, server := net.Pipe()
		l := singleListener{conn: make(chan net.Conn, 1), done: make(chan struct{})}
		l.conn <- server
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return a.Serve(ctx, l) })
		group.Go(func() error {
			buffer := make([]byte, 4096)
			for {
				if _, err := client.Read(buffer); err != nil {
					return nil
				}
			}
		})
		_ = client.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = client.Write(raw)
		_ = client.Close()
		cancel()
		_ = group.Wait()
		if a.ClientCount() != 0 {
			t.Error("a client is still connected")
		}
	})
}
