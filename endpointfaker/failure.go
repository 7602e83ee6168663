package endpointfaker

import "github.com/jackc/pgx/v5/pgconn"

// failure returns an error with an SQLSTATE.
func failure(state, message string) error {
	return &pgconn.PgError{Severity: "ERROR", Code: state, Message: message}
}
