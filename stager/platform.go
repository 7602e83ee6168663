package stager

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/authenticator"
	"github.com/marigoldgauge/marigoldgauge/governor"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// startPlatform starts the stand-in of the platform.
func (f *Fleet) startPlatform() error {
	l, err := f.Network.Listen(platformPlace, platformAddress)
	if err != nil {
		return err
	}
	listeners := []net.Listener{l}
	if f.options.ListenPlatform != nil {
		outside, err := f.options.ListenPlatform()
		if err != nil {
			return err
		}
		listeners = append(listeners, outside)
	}
	server := &http.Server{Handler: f.Store, ReadHeaderTimeout: time.Minute}
	for _, l := range listeners {
		f.group.Go(func() error {
			_ = server.Serve(l)
			return nil
		})
	}
	f.group.Go(func() error {
		<-f.ctx.Done()
		return server.Close()
	})
	return nil
}

// platformAddress is where the VMs reach the platform.
var platformAddress = netip.MustParseAddrPort("127.3.0.1:8400")

// Client returns a client of the platform's store at a place.
func (f *Fleet) Client(place string) *keeper.Client {
	return keeper.New("http://"+platformAddress.String(), f.transport(place))
}

// transport returns what carries HTTP from a place.
func (f *Fleet) transport(place string) *http.Transport {
	return &http.Transport{DialContext: f.Network.Dialer(place), IdleConnTimeout: time.Second}
}

// configure brings the deployment's configuration and a key for each
// organisation in force.
func (f *Fleet) configure() error {
	edits := f.Deployment.Edits()
	for _, p := range f.Deployment.Organisations {
		secret := authenticator.NewSecret()
		key, err := authenticator.Verifier(KeyID(p.Name), secret)
		if err != nil {
			return err
		}
		f.Keys[p.Name] = secret
		edits = append(edits, governor.Edit{Kind: governor.AddKey, Object: p.Name, Key: &key})
	}
	_, err := f.Change("initial", edits)
	return err
}

// KeyID returns the identifier of an organisation's first key.
func KeyID(organisation string) string {
	return organisation + "-key"
}

// Change proposes and accepts a change as an operator.
func (f *Fleet) Change(id string, edits []governor.Edit) (governor.Change, error) {
	transport := f.transport(platformPlace)
	defer transport.CloseIdleConnections()
	board := governor.NewBoard(keeper.New("http://"+platformAddress.String(), transport))
	now := f.options.Clock.Now()
	if _, err := board.Propose(f.ctx, governor.Change{ID: id, Proposer: "operator", Proposed: now, Edits: edits}); err != nil {
		return governor.Change{}, eris.Wrap(err, "proposing a change")
	}
	c, err := board.Accept(f.ctx, id, "operator", now)
	return c, eris.Wrap(err, "accepting a change")
}
