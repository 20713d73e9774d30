package eventloop

// AcceptLimiter limits the resources that the connections of one listener hold. Each function gets the part of the loop's
// limit that all listeners share and returns how much of it this listener may use now. A nil function allows all of it. The
// rest of the loop's limit is left for connections to members.
type AcceptLimiter struct {
	Descriptors func(limit int) int // maximum number of connections
	Bytes       func(limit int) int // maximum bytes of buffers beyond the standard size
}

// listenerDescriptors returns how many of the loop's descriptors accepted connections may use. The others are for the
// connections to members over which their requests are sent.
func listenerDescriptors(total int) int { return total * 5 / 8 }

// MaxConnections returns the maximum number of connections that the listener may have open now.
func (n *Listener) MaxConnections() int {
	if n.Descriptors != nil {
		return n.Descriptors(listenerDescriptors(n.loop.descriptors.max))
	}
	return listenerDescriptors(n.loop.descriptors.max)
}

// admitsBytes reports whether the buffers of the listener's connections may grow by the given number of bytes. Accepted
// connections use at most half of the loop's limit; the other half is left for the answers to their requests.
func (n *Listener) admitsBytes(growth int) bool {
	half := n.loop.memory.maxExtraBytes / 2
	if n.loop.memory.extraBytes+growth > half {
		return false
	}
	return n.Bytes == nil || n.extraBytes+growth <= n.Bytes(half)
}

// SetMaxInput sets the maximum number of bytes of unread input that each stream accepted from now on may buffer.
func (n *Listener) SetMaxInput(maxInput int) { n.maxInput = maxInput }

// Usage returns the number of open connections and the number of bytes that their buffers hold beyond the standard size.
func (n *Listener) Usage() (descriptors, bytes int) { return n.connections, n.extraBytes }
