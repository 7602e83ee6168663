package simulator

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
)

// newGroup returns a database group with an instance in each availability zone.
func (f *Fleet) newGroup(n int, name string) *endpointfaker.Group {
	o := endpointfaker.Options{
		Name:           name,
		Slots:          f.Deployment.Slots,
		MaxConnections: f.Deployment.Connections,
		ConnectDelay:   f.Deployment.ConnectDelay,
		ServiceTime:    f.Deployment.ServiceTime,
		Lag:            f.Deployment.Lag,
		Reachable:      f.Network.Reachable,
	}
	if hook := f.options.OnExecute; hook != nil {
		o.OnExecute = func(e endpointfaker.Execution) { hook(name, e) }
	}
	zones := len(f.Deployment.AvailabilityZones)
	for i := range 3 {
		id := fmt.Sprintf("%s-%c", name, 'a'+i)
		f.zones[id] = (n + i) % zones
		o.Instances = append(o.Instances, endpointfaker.InstanceOptions{
			ID:      id,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(n), byte(i + 1)}), endpointPort),
		})
	}
	return endpointfaker.New(o)
}

// startGroup starts the endpoints of a group.
func (f *Fleet) startGroup(g *endpointfaker.Group) error {
	for n, i := range g.Instances() {
		l, err := f.listenEndpoint(g, n)
		if err != nil {
			return err
		}
		f.group.Go(func() error { return i.Serve(f.ctx, l) })
	}
	f.group.Go(func() error { return g.Replicate(f.ctx) })
	return nil
}

// listenEndpoint opens the listener of the n-th instance of a group.
func (f *Fleet) listenEndpoint(g *endpointfaker.Group, n int) (net.Listener, error) {
	if f.options.EndpointListener != nil && g == f.Groups[0] {
		return f.options.EndpointListener(n), nil
	}
	return f.Network.Listen(g.Instances()[n].ID(), f.instanceAddress(g, n))
}

// instanceAddress returns the address of the n-th instance of a group, or the zero
// address if the group is unknown.
func (f *Fleet) instanceAddress(g *endpointfaker.Group, n int) netip.AddrPort {
	for i := range f.Groups {
		if f.Groups[i] == g {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i), byte(n + 1)}), endpointPort)
		}
	}
	return netip.AddrPort{}
}

// groupName returns the name of a group, or "" if the group is unknown.
func (f *Fleet) groupName(g *endpointfaker.Group) string {
	for i := range f.Groups {
		if f.Groups[i] == g {
			return f.Deployment.Groups[i]
		}
	}
	return ""
}

// Group returns the database group of a name, or nil.
func (f *Fleet) Group(name string) *endpointfaker.Group {
	for i := range f.Groups {
		if f.Deployment.Groups[i] == name {
			return f.Groups[i]
		}
	}
	return nil
}
