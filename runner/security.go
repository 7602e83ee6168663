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

// Security holds the TLS configurations of a process.
type Security struct {
	// Callers is the configuration of the server for clients; nil disables TLS.
	Callers *tls.Config
	// PeerServer is the configuration of the server for other VMs; nil disables TLS.
	PeerServer *tls.Config
	// PeerClient is the configuration for connections to other VMs; nil disables TLS.
	PeerClient *tls.Config
}

// NewSecurity loads the certificates named in the settings.
func NewSecurity(s loader.Settings) (Security, error) {
	var out Security
	if t := s.Callers.TLS; t.Certificate != "" {
		c, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
		if err != nil {
			return out, eris.Wrap(err, "loading the certificate for clients")
		}
		out.Callers = &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}
	}
	if t := s.Peers; t.Certificate != "" {
		c, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
		if err != nil {
			return out, eris.Wrap(err, "loading the certificate for other VMs")
		}
		authorities, err := readAuthorities(t.CA)
		if err != nil {
			return out, err
		}
		out.PeerServer, out.PeerClient = MutualTLS(c, authorities)
	}
	return out, nil
}

// MutualTLS returns the configurations of both sides of a connection between VMs.
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

// readAuthorities reads the certificate authorities that must have issued the
// certificates of other VMs.
func readAuthorities(path string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading the certificate authorities for other VMs")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, eris.Errorf("no PEM certificate found in %s", path)
	}
	return pool, nil
}

// listenPeers adds TLS to a listener for other VMs.
func (s Security) listenPeers(l net.Listener) net.Listener {
	if s.PeerServer == nil {
		return l
	}
	return tls.NewListener(l, s.PeerServer)
}

// dialPeers adds TLS to connections to other VMs.
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
			return nil, eris.Wrapf(err, "parsing the address %s", addr)
		}
		config.ServerName = host
		tlsConn := tls.Client(raw, config)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, eris.Wrapf(err, "TLS handshake with %s", addr)
		}
		return tlsConn, nil
	}
}
