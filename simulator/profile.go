package simulator

import (
	"fmt"
)

// Profile describes an organisation of a deployment.
type Profile struct {
	// Name is the name of the organisation.
	Name string
	// Rate is its rate limit in requests per second.
	Rate float64
	// Burst is the number of requests that it may send at once.
	Burst float64
	// Databases are the names of the databases that it uses.
	Databases []string
}

// profiles returns n organisations: two large ones that use two databases each,
// and small ones that use one.
func profiles(kind string, n int, database string) []Profile {
	all := make([]Profile, 0, n)
	for i := range n {
		p := Profile{
			Name:      fmt.Sprintf("%s-%d", kind, i+1),
			Rate:      60,
			Burst:     60,
			Databases: []string{fmt.Sprintf("%s-%d", database, i%3+1)},
		}
		if i < 2 {
			p.Rate, p.Burst = 150, 150
			p.Databases = append(p.Databases, fmt.Sprintf("%s-%d", database, (i+1)%3+1))
		}
		all = append(all, p)
	}
	return all
}
