package accountant

// Traffic holds the counts of one purpose.
type Traffic struct {
	// Purpose is what the messages are for.
	Purpose string `json:"purpose"`
	// MessagesSent and MessagesReceived count messages: datagrams, bodies, or writes
	// and reads on a connection.
	MessagesSent     uint64 `json:"messages-sent"`
	MessagesReceived uint64 `json:"messages-received"`
	// BytesSent and BytesReceived count their bytes, without the headers of lower protocols.
	BytesSent     uint64 `json:"bytes-sent"`
	BytesReceived uint64 `json:"bytes-received"`
}

// Add adds the counts of o.
func (t *Traffic) Add(o Traffic) {
	t.MessagesSent += o.MessagesSent
	t.MessagesReceived += o.MessagesReceived
	t.BytesSent += o.BytesSent
	t.BytesReceived += o.BytesReceived
}
