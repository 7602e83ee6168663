package delegator

// minConnectionsPerHolder is the least number of an instance's connections per
// holder: as many as the clients that a holder serves use at a time.
const minConnectionsPerHolder = 4

// HolderCount returns the number of VMs per availability zone that hold connections to
// the instances of a group; all is true when there is at least one connection
// for each VM.
//
// In a fleet with more VMs than connections, VMs without holders would open a
// connection for each statement, which costs the instance half as much as a
// short statement itself.
func HolderCount(connections float64, vms, zones int) (holders int, all bool) {
	if connections >= float64(vms) {
		return 0, true
	}
	perZone := connections / float64(max(zones, 1))
	return max(1, int(perZone)/minConnectionsPerHolder), false
}
