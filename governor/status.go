package governor

// Status is what the coordinator of a cell reports of its VMs.
type Status struct {
	// Members are the VMs of the cell.
	Members []MemberStatus `json:"members"`
}
