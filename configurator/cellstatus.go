package configurator

// CellStatus is the coordinator's report on the VMs of its cell.
type CellStatus struct {
	// Members are the VMs of the cell.
	Members []MemberStatus `json:"members"`
}
