package assembler

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/apex/log"

	"github.com/marigoldgauge/marigoldgauge/accountant"
	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/sessioner"
	"github.com/marigoldgauge/marigoldgauge/switcher"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Store is the platform's store.
type Store interface {
	// Get returns an object, or keeper.ErrNotFound.
	Get(ctx context.Context, key string) (keeper.Object, error)
	// Put writes an object if the condition holds and returns its new version.
	Put(ctx context.Context, key string, value []byte, cond keeper.Condition) (string, error)
	// Delete removes an object at a version.
	Delete(ctx context.Context, key, version string) error
	// List returns the objects under a prefix.
	List(ctx context.Context, prefix string) (keeper.Page, error)
	// Watch returns the changes under a prefix after a revision. It blocks until there
	// is one, at most for wait, and then returns an empty page.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (keeper.Page, error)
	// Calls returns the number of calls so far.
	Calls() keeper.CallCounts
}

// Adapter is the interface to the platform that a process runs on.
type Adapter interface {
	// Store returns the platform's store.
	Store() Store
	// Promoter replaces primaries.
	Promoter() switcher.Promoter
	// Dialer opens connections to instances.
	Dialer() connector.Dialer
	// NewClient wraps a client connection.
	NewClient(c net.Conn) sessioner.Client
	// CatalogueKey returns the key of the configuration in the store.
	CatalogueKey() string
	// DecodeCatalogue decodes the configuration from the store.
	DecodeCatalogue(raw []byte) (*cataloguer.Catalogue, error)
	// InstancesPrefix returns the prefix under which instances register in the store.
	InstancesPrefix() string
	// DecodeInstance decodes the entry of an instance from the store.
	DecodeInstance(o keeper.Object) (observer.Instance, error)
	// ReadinessHandler returns the handler of the platform's readiness check.
	ReadinessHandler(ready func() bool) http.Handler
}

// Dependencies are the dependencies of a Proxy.
type Dependencies struct {
	// Settings are the settings of the process.
	Settings loader.HostedSettings
	// Adapter is the interface to the platform.
	Adapter Adapter
	// Transport carries messages between VMs.
	Transport gossiper.Transport
	// Clock returns the present time. It keeps running while the VM is suspended.
	Clock timekeeper.Clock
	// Accountant counts the traffic of the process.
	Accountant *accountant.Accountant
	// Log receives the log lines of the process.
	Log *log.Logger
	// Listen opens a listener.
	Listen func(a netip.AddrPort) (net.Listener, error)
	// Dial opens connections to other VMs.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// LoadSettings reloads the settings.
	LoadSettings func() (loader.HostedSettings, error)
	// ReloadSignals delivers the signals that request a reload of the settings.
	ReloadSignals <-chan os.Signal
}

// dialCounted returns Dial with the traffic of its connections counted for a purpose.
func (d Dependencies) dialCounted(purpose string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return d.Accountant.Conn(c, purpose), nil
	}
}
