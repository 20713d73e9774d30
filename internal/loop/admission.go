package loop

// AcceptLimiter limits the resources that the connections of one listener hold. Each function is given the listeners' part of the
// loop's limit and returns how much of it this listener may use now; nil stands for all of it. The listeners' part leaves
// the rest for connections to members.
type AcceptLimiter struct {
	Descriptors func(limit int) int // number of connections
	Bytes       func(limit int) int // bytes of buffers beyond the standard size
}

// listenerDescriptors returns the part of a number of descriptors that the connections of listeners may use. Their requests
// need descriptors of their own.
func listenerDescriptors(total int) int { return total * 5 / 8 }

// MaxConnections returns how many connections the listener may have open now.
func (n *Listener) MaxConnections() int {
	if n.Descriptors != nil {
		return n.Descriptors(listenerDescriptors(n.loop.descriptors.max))
	}
	return listenerDescriptors(n.loop.descriptors.max)
}

// admitsBytes reports whether the buffers of the connections may grow by so many bytes. Listeners use at most half of the
// limit and leave the other half for the answers to their requests.
func (n *Listener) admitsBytes(more int) bool {
	half := n.loop.memory.maxExtraBytes / 2
	if n.loop.memory.extraBytes+more > half {
		return false
	}
	return n.Bytes == nil || n.extraBytes+more <= n.Bytes(half)
}

// SetMaxInput sets how many bytes of unread input each new stream may buffer.
func (n *Listener) SetMaxInput(maxInput int) { n.maxInput = maxInput }

// Usage returns how many connections are open and how many bytes their buffers hold beyond the standard size.
func (n *Listener) Usage() (descriptors, bytes int) { return n.connections, n.extraBytes }
