package prober

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"
)

// Dial opens a network connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Target holds the address of an instance and the credentials of the proxies.
type Target struct {
	// Address is the address on which the instance listens.
	Address netip.AddrPort
	// User is the database user of the proxies.
	User string
	// Password is the password of User.
	Password string
	// Database is the name of the database on the instance.
	Database string
	// Dial opens network connections.
	Dial Dial
}

// EpochParameter is the startup parameter that carries the epoch of the pool owner.
const EpochParameter = "marigoldgauge.pool_epoch"

// Connect opens a connection for the pool owner of an epoch. Epoch zero opens a
// control connection.
func (t Target) Connect(ctx context.Context, epoch uint64, timeout time.Duration) (*pgconn.PgConn, error) {
	c, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, eris.Wrap(err, "preparing the connection configuration")
	}
	c.Host = t.Address.Addr().String()
	c.Port = t.Address.Port()
	c.User = t.User
	c.Password = t.Password
	c.Database = t.Database
	c.Fallbacks = nil
	c.ConnectTimeout = timeout
	c.RuntimeParams = map[string]string{}
	if epoch > 0 {
		c.RuntimeParams[EpochParameter] = strconv.FormatUint(epoch, 10)
	}
	c.DialFunc = pgconn.DialFunc(t.Dial)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := pgconn.ConnectConfig(ctx, c)
	return conn, eris.Wrapf(err, "connecting to %s", t.Address)
}
