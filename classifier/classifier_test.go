package classifier_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/classifier"
)

func TestClassify(t *testing.T) {
	c := classifier.New()
	tests := []struct {
		text string
		want classifier.Kind
	}{
		{"", classifier.Empty},
		{"-- nothing", classifier.Empty},
		{"select 1", classifier.Read},
		{"select count(*) from seats where id = $1", classifier.Read},
		{"with x as (select 1) select * from x", classifier.Read},
		{"with x as (insert into t values (1) returning *) select * from x", classifier.Write},
		{"select * from seats for update", classifier.Write},
		{"select nextval('s')", classifier.Write},
		{"select unknown_function()", classifier.Write},
		{"select (select other(1))", classifier.Write},
		{"insert into t values (1)", classifier.Write},
		{"update t set a = 1; select 1", classifier.Write},
		{"select 1; select 2", classifier.Read},
		{"explain select 1", classifier.Read},
		{"explain analyze delete from t", classifier.Write},
		{"begin", classifier.Begin},
		{"begin read only", classifier.BeginReadOnly},
		{"start transaction isolation level serializable read only", classifier.BeginReadOnly},
		{"commit", classifier.End},
		{"rollback", classifier.End},
		{"rollback to a", classifier.InTransaction},
		{"savepoint a", classifier.InTransaction},
		{"begin; insert into t values (1); commit", classifier.Write},
		{"not sql at all", classifier.Write},
		{"set local a.b = 'c'", classifier.InTransaction},
		{"set marigoldgauge.session = 'token'", classifier.SetSession},
		{"set marigoldgauge.organisation = 'other'", classifier.Refused},
		{"set local marigoldgauge.organisation = 'other'", classifier.Refused},
		{"reset all", classifier.Refused},
		{"set search_path = x", classifier.Refused},
		{"copy t from stdin", classifier.Refused},
		{"listen x", classifier.Refused},
		{"create temp table t (a int)", classifier.Refused},
		{"select 1 into temp t", classifier.Refused},
		{"create temp view v as select 1", classifier.Refused},
		{"select pg_advisory_lock(1)", classifier.Refused},
		{"insert into t select pg_advisory_lock(1)", classifier.Refused},
		{"select set_config('marigoldgauge.organisation', 'x', false)", classifier.Refused},
		{"prepare a as select 1", classifier.Refused},
		{"discard all", classifier.Refused},
		{"prepare transaction 'x'", classifier.Refused},
		{"do $$ begin perform set_config('a.b', 'c', false); end $$", classifier.Refused},
		{"set role other", classifier.Refused},
		{"set session authorization other", classifier.Refused},
		{"set local role other", classifier.Refused},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.Classify(tt.text).Kind.String()).To(Equal(tt.want.String()))
		})
	}
}

// Guards against the organisation, the role or other state of a shared connection that a client's text sets in
// another spelling or in a nested statement, so that the next client's statements run with it.
func TestStatementsThatSetSharedStateAreRefused(t *testing.T) {
	c := classifier.New()
	tests := []struct{ name, text string }{
		{"quoted capitals", `set local "Marigoldgauge".organisation = 'other'`},
		{"a quoted name", `set local "MARIGOLDGAUGE.ORGANISATION" = 'other'`},
		{"a quoted role", `set local "ROLE" = other`},
		{"a quoted authorization", `set local "Session_Authorization" = other`},
		{"a cursor", `declare c cursor for select set_config('marigoldgauge.organisation', 'x', false)`},
		{"a lock of a cursor", `declare c cursor with hold for select pg_advisory_lock(1)`},
		{"the view of settings", `update pg_settings set setting = 'x' where name = 'marigoldgauge.organisation'`},
		{"the view of settings with its schema", `update pg_catalog.pg_settings set setting = 'x'`},
		{"the view of settings in a common table expression", `with a as (update pg_settings set setting = 'x' returning 1) select 1`},
		{"a text that is run", `select query_to_xml('select set_config(''marigoldgauge.organisation'', ''x'', false)', true, false, '')`},
		{"a text whose words are counted", `select * from ts_stat('select set_config(''marigoldgauge.organisation'', ''x'', false)::tsvector')`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.Classify(tt.text).Kind.String()).To(Equal(classifier.Refused.String()))
		})
	}
	g := NewWithT(t)
	g.Expect(c.Classify("declare c cursor for select 1").Kind).To(Equal(classifier.InTransaction))
	g.Expect(c.Classify("select setting from pg_settings").Kind).To(Equal(classifier.Read))
}

func BenchmarkClassify(b *testing.B) {
	c := classifier.New()
	b.ReportAllocs()
	for range b.N {
		c.Classify("select n from seats where who = $1")
	}
}
