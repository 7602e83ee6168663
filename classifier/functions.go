package classifier

// newSet returns a set of the given names.
func newSet(names ...string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	return m
}

// identitySettings are the settings that select the role of a connection.
var identitySettings = newSet("role", "session_authorization")

// settingsView is the view whose updates change settings of the session.
const settingsView = "pg_settings"

// sessionFunctions are the functions that use session state, which outlives the transaction, or that run
// a text, which may use it.
var sessionFunctions = newSet(
	"pg_advisory_lock", "pg_advisory_lock_shared", "pg_try_advisory_lock", "pg_try_advisory_lock_shared",
	"pg_advisory_unlock", "pg_advisory_unlock_shared", "pg_advisory_unlock_all",
	"set_config", "currval", "lastval", "setseed",
	"query_to_xml", "query_to_xmlschema", "query_to_xml_and_xmlschema", "ts_stat",
)

// readFunctions are the functions that are known to have no side effects on data.
var readFunctions = newSet(
	"abs", "age", "any_value", "array_agg", "array_length", "array_to_string", "avg", "bool_and", "bool_or",
	"btrim", "ceil", "ceiling", "char_length", "concat", "concat_ws", "count", "cume_dist", "current_setting",
	"date", "date_part", "date_trunc", "dense_rank", "exp", "extract", "first_value", "floor", "format",
	"generate_series", "greatest", "initcap", "json_agg", "json_build_object", "jsonb_agg", "jsonb_build_object",
	"lag", "last_value", "lead", "least", "left", "length", "ln", "log", "lower", "lpad", "ltrim", "max", "md5",
	"min", "mod", "now", "ntile", "nullif", "octet_length", "overlay", "percent_rank", "pg_sleep", "position",
	"power", "rank", "regexp_match", "regexp_matches", "regexp_replace", "repeat", "replace", "reverse", "right",
	"round", "row_number", "row_to_json", "rpad", "rtrim", "sign", "split_part", "sqrt", "statement_timestamp",
	"stddev", "string_agg", "string_to_array", "strpos", "substr", "substring", "sum", "timezone", "to_char",
	"to_date", "to_json", "to_jsonb", "to_number", "to_timestamp", "transaction_timestamp", "translate", "trim",
	"trunc", "unnest", "upper", "variance", "version",
)
