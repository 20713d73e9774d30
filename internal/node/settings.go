package node

import "runtime/debug"

// applyLimits makes the event loop and the runtime follow the site's limits.
func (n *Node) applyLimits() {
	n.loop.SetLimits(n.site.Descriptors, int(n.site.Memory/bufferFraction))
	if !n.simulated {
		debug.SetMemoryLimit(runtimeMemory(n.site))
	}
}

// applySettings makes all parts of the driver but the module follow the site's settings.
func (n *Node) applySettings() {
	n.rpcs.applySettings(n.site)
	n.members.applySettings(n.site)
	n.listeners.applySettings(n.site)
}
