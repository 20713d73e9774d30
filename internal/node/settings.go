package node

import "runtime/debug"

// applyLimits applies the site's limits to the event loop and the Go runtime.
func (n *Node) applyLimits() {
	n.loop.SetLimits(n.site.Descriptors, bufferMemory(n.site))
	if !n.simulated {
		debug.SetMemoryLimit(runtimeMemory(n.site))
	}
}

// applySettings applies the site's settings to all parts of the driver except the module.
func (n *Node) applySettings() {
	n.rpcs.applySettings(n.site)
	n.members.applySettings(n.site)
	n.listeners.applySettings(n.site)
}
