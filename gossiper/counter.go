package gossiper

// Counter counts the datagrams of a Gossiper by purpose.
type Counter interface {
	// Sent counts a datagram that was sent.
	Sent(purpose string, bytes int)
	// Received counts a datagram that was received.
	Received(purpose string, bytes int)
}

// framePurposes are the purposes of datagrams by frame type. The datagrams of a topic
// are counted under its name.
var framePurposes = map[byte]string{
	frameMessage: "gossip-message", frameDigest: "gossip-digest", frameCompactMessage: "gossip-message", frameCompactDigest: "gossip-digest",
	frameGreeting: "gossip-greeting", frameFullStateRequest: "gossip-full-state-request",
}

// purpose returns the purpose of a datagram with a body.
func (g *Gossiper) purpose(frame byte, body []byte) string {
	if name, ok := framePurposes[frame]; ok {
		return name
	}
	if len(body) > 0 {
		if t, ok := g.topics[Topic(body[0])]; ok {
			return t.name
		}
	}
	return "gossip-unknown"
}
