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

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Target is an instance and the credentials that the proxies use there.
type Target struct {
	// Address is where the instance listens.
	Address netip.AddrPort
	// User is the proxies' own user.
	User string
	// Password is the proxies' own password.
	Password string
	// Database is the database on the instance.
	Database string
	// Dial opens a connection.
	Dial Dial
}

// EpochParameter is the start-up parameter that carries the epoch of the pool owner.
const EpochParameter = "marigoldgauge.pool_epoch"

// Connect opens a connection for a pool owner; epoch zero is a control connection.
func (t Target) Connect(ctx context.Context, epoch uint64, timeout time.Duration) (*pgconn.PgConn, error) {
	c, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, eris.Wrap(err, "preparing the connection")
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
