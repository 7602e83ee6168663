package governor

// Status is the coordinator's report on the VMs of its cell.
type Status struct {
	// Members are the VMs of the cell.
	Members []MemberStatus `json:"members"`
}
