package delegator

// connectionsPerHolder is the least share of an instance's connections that
// makes a holder worth having: as many as its callers use at a time.
const connectionsPerHolder = 4

// Plan returns how many VMs of an availability zone hold connections to the
// instances of a group; all do where there is a connection for each.
//
// It answers a fleet of more VMs than connections: there every VM would open a
// connection for each statement, which costs the instance half of a short one.
func Plan(connections float64, vms, zones int) (holders int, all bool) {
	if connections >= float64(vms) {
		return 0, true
	}
	perZone := connections / float64(max(zones, 1))
	return max(1, int(perZone)/connectionsPerHolder), false
}
