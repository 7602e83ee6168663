package cataloguer

// Difference is what differs between the entries of one kind in two configurations.
type Difference[V any] struct {
	// Removed and Added are the entries that only the earlier and only the later
	// configuration has. A changed entry is in both.
	Removed, Added []V
	// Total is the number of entries in the later configuration.
	Total int
}

// apply returns the index of the later configuration. ok is false if several of its entries
// have the same key: the last one is in force, and a Difference does not tell their order.
func (d Difference[V]) apply(x Index[V], key func(V) string) (_ Index[V], ok bool) {
	if len(d.Removed)+len(d.Added) > 0 {
		e := x.edit(len(d.Added))
		for _, v := range d.Removed {
			e.remove(key(v))
		}
		for _, v := range d.Added {
			e.set(key(v), v)
		}
		x = e.index
	}
	return x, x.Len() == d.Total
}
