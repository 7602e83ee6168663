package connector

// Bounds limits the connections of this VM to one instance.
type Bounds struct {
	// Share is the number of connections that this VM may hold at any time: the
	// shares of all VMs together fit the instance and leave room.
	Share int
	// Most is the largest number of connections; those beyond the share are
	// opened one by one while the instance has room, and not kept idle.
	Most int
}

// keptFree is the part of an instance's connections that all shares together
// leave free. An instance keeps the connections of VMs that lost power for
// seconds; without room beside them nobody is served after an outage of all VMs.
// A third is the smallest part that gave all of the gain on both users' sites.
const keptFree = 1.0 / 3

// Divide returns the bounds of each of some VMs at an instance that takes most
// connections.
func Divide(most, vms int) Bounds {
	return Bounds{Share: max(1, int(float64(most)*(1-keptFree)/float64(max(vms, 1)))), Most: most}
}
