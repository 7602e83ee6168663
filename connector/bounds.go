package connector

// Bounds limits the connections of this VM to one instance.
type Bounds struct {
	// Share is the number of connections that this VM may hold at any time: the
	// shares of all VMs together fit the instance.
	Share int
	// Most is the largest number of connections; those beyond the share are
	// opened one by one while the instance has room, and not kept idle.
	Most int
}
