package node

import (
	"runtime/debug"
	"slices"
	"strings"

	odatafront "passtack/internal/front/odata"
	pgfront "passtack/internal/front/pg"
	"passtack/internal/settings"
)

// applyLimits makes the event loop and the runtime follow the site's limits.
func (n *Node) applyLimits() {
	n.loop.Limit(n.site.Descriptors, int(n.site.Memory/bufferFraction))
	if !n.simulated {
		debug.SetMemoryLimit(n.site.Memory * 3 / 4)
	}
}

// applySettings makes all parts of the driver but the module follow the site's settings.
func (n *Node) applySettings() {
	s := n.site
	n.rpcs.maxAttempts = int(settings.New(s.Settings).Number("caps.attempts", 1))
	n.members.zones = strings.Split(s.Settings["zones"], ",")
	connect, idle := s.duration("caps.connect_timeout", defaultConnectTimeout), s.duration("caps.idle_close", defaultIdleTimeout)
	n.members.connectLimiter.SetTimeout(connect)
	for _, p := range n.members.pools {
		p.Within(connect, idle)
	}
	methods := s.methods()
	served := slices.Clone(methods.names) // a retired method is not served any more
	for i := range served {
		if methods.retired[i] {
			served[i] = ""
		}
	}
	for _, l := range n.listeners.all {
		switch f := l.front.(type) {
		case *pgfront.Front:
			f.Methods(served, methods.inSession, methods.tokened)
		case *odatafront.Front: // its operations name no retired method
			f.Methods(methods.names)
		}
	}
}
