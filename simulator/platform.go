package simulator

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/authenticator"
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// startPlatform starts the fake of the platform.
func (f *Fleet) startPlatform() error {
	l, err := f.Network.Listen(platformHost, platformAddress)
	if err != nil {
		return err
	}
	listeners := []net.Listener{l}
	if f.options.ListenPlatform != nil {
		extra, err := f.options.ListenPlatform()
		if err != nil {
			return err
		}
		listeners = append(listeners, extra)
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

// platformAddress is the address of the platform in the simulated network.
var platformAddress = netip.MustParseAddrPort("127.3.0.1:8400")

// Client returns a client of the platform's store that connects from a host.
func (f *Fleet) Client(host string) *keeper.Client {
	return keeper.New("http://"+platformAddress.String(), f.transport(host))
}

// transport returns an HTTP transport that connects from a host.
func (f *Fleet) transport(host string) *http.Transport {
	return &http.Transport{DialContext: f.Network.Dialer(host), IdleConnTimeout: time.Second}
}

// configure applies the configuration of the deployment, with a key for each
// organisation.
func (f *Fleet) configure() error {
	edits := f.Deployment.InitialEdits()
	for _, p := range f.Deployment.Organisations {
		secret := authenticator.NewSecret()
		key, err := authenticator.Verifier(KeyID(p.Name), secret)
		if err != nil {
			return err
		}
		f.Keys[p.Name] = secret
		edits = append(edits, configurator.Edit{Kind: configurator.AddKey, Object: p.Name, Key: &key})
	}
	_, err := f.ApplyChange("initial", edits)
	return err
}

// KeyID returns the identifier of an organisation's first key.
func KeyID(organisation string) string {
	return organisation + "-key"
}

// ApplyChange proposes a configuration change and accepts it as an operator.
func (f *Fleet) ApplyChange(id string, edits []configurator.Edit) (configurator.Change, error) {
	transport := f.transport(platformHost)
	defer transport.CloseIdleConnections()
	board := configurator.NewRepository(keeper.New("http://"+platformAddress.String(), transport))
	now := f.options.Clock.Now()
	if _, err := board.Propose(f.ctx, configurator.Change{ID: id, Proposer: "operator", Proposed: now, Edits: edits}); err != nil {
		return configurator.Change{}, eris.Wrap(err, "proposing a configuration change")
	}
	c, err := board.Accept(f.ctx, id, "operator", now)
	return c, eris.Wrap(err, "accepting a configuration change")
}
