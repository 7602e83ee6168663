package endpointfaker

import "github.com/jackc/pgx/v5/pgconn"

// newPgError returns a PostgreSQL error with an SQLSTATE and a message.
func newPgError(state, message string) error {
	return &pgconn.PgError{Severity: "ERROR", Code: state, Message: message}
}
