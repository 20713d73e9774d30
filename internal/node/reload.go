package node

import (
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"strings"

	odatafront "passtack/internal/front/odata"
	"passtack/internal/operator"
)

// reload applies what the files say now, as far as that needs no restart.
func (n *Node) reload(fresh *Site, config *operator.File, err error) {
	if err != nil {
		n.Count("reloads_failed")
		for line := range strings.Lines(err.Error()) {
			slog.Warn("reload_failed", "cause", strings.TrimSpace(line))
		}
		return
	}
	n.Count("reloads")
	restart := n.reloadSite(fresh)
	if n.configuration != nil {
		n.configuration.reloadLocal(fresh, config)
	}
	if n.peers != nil {
		n.peers.SetAddresses(n.site.PeerBroadcast, n.site.Peers)
	}
	restart = append(restart, n.applyConfig(config)...)
	slog.Info("reloaded", "discovery", n.site.Discovery, "sockets", n.site.Descriptors, "memory_mb", n.site.Memory>>20,
		"needs_restart", strings.Join(restart, ","))
}

// reloadSite applies the site's file, and returns what in it needs a restart.
func (n *Node) reloadSite(fresh *Site) (restart []string) {
	s := n.site
	settings := s.Settings
	if n.configuration != nil {
		settings = n.configuration.local.settings
	}
	for name, same := range map[string]bool{
		"name":        s.Name == fresh.Name,
		"listen":      s.Listen == fresh.Listen,
		"peer_listen": s.PeerListen == fresh.PeerListen,
		"settings":    maps.Equal(settings, fresh.Settings),
	} {
		if !same {
			restart = append(restart, name)
		}
	}
	if fresh.fileDiscovery.IsValid() && fresh.fileDiscovery != s.fileDiscovery {
		s.fileDiscovery, s.Discovery = fresh.fileDiscovery, fresh.Discovery
		n.list.Move(s.Discovery)
	}
	s.Descriptors, s.Memory, s.Peers, s.PeerBroadcast = fresh.Descriptors, fresh.Memory, fresh.Peers, fresh.PeerBroadcast
	n.applyLimits()
	return restart
}

// applyConfig applies another version of the operator's file, and returns what in it needs a restart.
func (n *Node) applyConfig(config *operator.File) (restart []string) {
	n.lines.Level.Set(config.Level)
	n.lines.Sample.Store(config.Sample)
	inForce := n.config
	if !sameTopology(inForce, config) {
		restart = append(restart, "fronts or members")
	}
	if !equal(inForce.State, config.State) {
		restart = append(restart, "state")
	}
	if leasesNeedRestart(inForce.Leases, config.Leases) {
		restart = append(restart, "leases")
	} else if n.leases != nil && !reflect.DeepEqual(inForce.Leases, config.Leases) {
		inForce.Leases = config.Leases
		n.leases.changeVoters(config.Leases)
	}
	if !equal(inForce.View, config.View) {
		restart = append(restart, "view")
	}
	if !reflect.DeepEqual(config.Configuration, inForce.Configuration) {
		restart = append(restart, "configuration")
	}
	if config.Control != inForce.Control {
		restart = append(restart, "control")
	}
	return append(restart, n.listeners.applyConfig(config.Fronts)...)
}

// applyConfig applies what the operator's file says of listeners, and names those that need a restart.
func (s *listenerSet) applyConfig(fronts []*operator.Front) (restart []string) {
	inForce := s.node.config.Fronts
	for _, f := range fronts {
		i := slices.IndexFunc(inForce, func(o *operator.Front) bool {
			return o.Name == f.Name && o.Protocol == f.Protocol && o.Listen == f.Listen
		})
		if i < 0 {
			restart = append(restart, "front "+f.Name)
			continue
		}
		inForce[i].Share = f.Share
		s.quotas.Update(s.all[i].quotaID, f.Share)
		if odata, ok := s.all[i].front.(*odatafront.Front); ok {
			inForce[i].OData = f.OData
			odata.Offer(f.OData)
		}
	}
	return restart
}

// sameTopology reports whether two files have as many listeners and the same members.
func sameTopology(a, b *operator.File) bool {
	return len(a.Fronts) == len(b.Fronts) && a.Root == b.Root && a.Host == b.Host && maps.Equal(a.Forms, b.Forms)
}

// equal reports whether two optional blocks of a file are the same.
func equal[T comparable](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// leasesNeedRestart reports whether two blocks for leases differ in more than the set of voters.
func leasesNeedRestart(a, b *operator.Leases) bool {
	if a == nil || b == nil {
		return a != b
	}
	withoutVoters := func(l operator.Leases) operator.Leases {
		l.Version, l.Voters, l.Former = 0, nil, nil
		return l
	}
	return !reflect.DeepEqual(withoutVoters(*a), withoutVoters(*b))
}
