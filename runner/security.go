package runner

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/loader"
)

// Security holds the certificates of a process.
type Security struct {
	// Callers is what callers see; nil is plain.
	Callers *tls.Config
	// PeerServer is what other VMs see; nil is plain.
	PeerServer *tls.Config
	// PeerClient is what this VM shows to other VMs; nil is plain.
	PeerClient *tls.Config
}

// NewSecurity reads the certificates that the settings name.
func NewSecurity(s loader.Settings) (Security, error) {
	var out Security
	if t := s.Callers.TLS; t.Certificate != "" {
		c, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
		if err != nil {
			return out, eris.Wrap(err, "reading the certificate for callers")
		}
		out.Callers = &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}
	}
	if t := s.Peers; t.Certificate != "" {
		c, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
		if err != nil {
			return out, eris.Wrap(err, "reading the certificate for other VMs")
		}
		authorities, err := readAuthorities(t.CA)
		if err != nil {
			return out, err
		}
		out.PeerServer, out.PeerClient = MutualTLS(c, authorities)
	}
	return out, nil
}

// MutualTLS returns the settings of both sides of a connection between VMs.
func MutualTLS(c tls.Certificate, authorities *x509.CertPool) (server, client *tls.Config) {
	server = &tls.Config{
		Certificates: []tls.Certificate{c},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authorities,
		MinVersion:   tls.VersionTLS13,
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{c},
		RootCAs:      authorities,
		MinVersion:   tls.VersionTLS13,
	}
	return server, client
}

// readAuthorities reads the authority that the other side's certificate must come from.
func readAuthorities(path string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading the authority for other VMs")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, eris.Errorf("%s holds no certificate", path)
	}
	return pool, nil
}

// listenPeers secures a listener for other VMs.
func (s Security) listenPeers(l net.Listener) net.Listener {
	if s.PeerServer == nil {
		return l
	}
	return tls.NewListener(l, s.PeerServer)
}

// dialPeers secures the connections to other VMs.
func (s Security) dialPeers(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	if s.PeerClient == nil {
		return dial
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		config := s.PeerClient.Clone()
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, eris.Wrapf(err, "reading the address %s", addr)
		}
		config.ServerName = host
		secured := tls.Client(raw, config)
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, eris.Wrapf(err, "securing the connection to %s", addr)
		}
		return secured, nil
	}
}
