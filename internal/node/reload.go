package node

import (
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"strings"

	"passtack/internal/config"
	odatafront "passtack/internal/front/odata"
)

// reload applies the reloaded files as far as possible without a restart.
func (n *Node) reload(fresh *Site, cfg *config.File, err error) {
	if err != nil {
		n.Count("reloads_failed")
		for line := range strings.Lines(err.Error()) {
			slog.Warn("reload failed", "cause", strings.TrimSpace(line))
		}
		return
	}
	n.Count("reloads")
	restart := n.reloadSite(fresh)
	if n.configuration != nil {
		n.configuration.reloadLocal(fresh, cfg)
	}
	if n.peers != nil {
		n.peers.SetAddresses(n.site.PeerBroadcast, n.site.Peers)
	}
	restart = append(restart, n.applyConfig(cfg)...)
	slog.Info("reloaded", "discovery", n.site.Discovery, "sockets", n.site.Descriptors, "memory_mb", n.site.Memory>>20,
		"needs_restart", strings.Join(restart, ","))
}

// reloadSite applies the platform's file and returns the changed parts of it that need a restart.
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
		n.discovery.SetAddress(s.Discovery)
	}
	s.Descriptors, s.Memory, s.Peers, s.PeerBroadcast = fresh.Descriptors, fresh.Memory, fresh.Peers, fresh.PeerBroadcast
	n.applyLimits()
	return restart
}

// applyConfig applies another version of the operator's file and returns the changed parts of it that need a restart.
func (n *Node) applyConfig(cfg *config.File) (restart []string) {
	n.lines.Level.Set(cfg.LogLevel)
	n.lines.RateLimit.Store(cfg.LogSample)
	inForce := n.config
	if !sameTopology(inForce, cfg) {
		restart = append(restart, "fronts or members")
	}
	if !equalBlocks(inForce.State, cfg.State) {
		restart = append(restart, "state")
	}
	if leasesNeedRestart(inForce.Leases, cfg.Leases) {
		restart = append(restart, "leases")
	} else if n.leases != nil && !reflect.DeepEqual(inForce.Leases, cfg.Leases) {
		inForce.Leases = cfg.Leases
		n.leases.changeVoters(cfg.Leases)
	}
	if !equalBlocks(inForce.Membership, cfg.Membership) {
		restart = append(restart, "view")
	}
	if !reflect.DeepEqual(cfg.Configuration, inForce.Configuration) {
		restart = append(restart, "configuration")
	}
	if cfg.Control != inForce.Control {
		restart = append(restart, "control")
	}
	return append(restart, n.listeners.applyConfig(cfg.Listeners)...)
}

// applyConfig applies the listeners of the operator's file and returns those that need a restart.
func (s *listenerSet) applyConfig(listeners []*config.Listener) (restart []string) {
	inForce := s.node.config.Listeners
	for _, f := range listeners {
		i := slices.IndexFunc(inForce, func(o *config.Listener) bool {
			return o.Name == f.Name && o.Protocol == f.Protocol && o.Listen == f.Listen
		})
		if i < 0 {
			restart = append(restart, "front "+f.Name)
			continue
		}
		inForce[i].Quota = f.Quota
		s.quotas.Update(s.all[i].quotaID, f.Quota)
		if odata, ok := s.all[i].front.(*odatafront.Front); ok {
			inForce[i].OData = f.OData
			odata.SetConfig(f.OData)
		}
	}
	return restart
}

// sameTopology reports whether two files have the same number of listeners and the same settings for members.
func sameTopology(a, b *config.File) bool {
	return len(a.Listeners) == len(b.Listeners) && a.MemberRoot == b.MemberRoot && a.MemberHost == b.MemberHost && maps.Equal(a.Forms, b.Forms)
}

// equalBlocks reports whether two optional blocks of a file are equal.
func equalBlocks[T comparable](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// leasesNeedRestart reports whether two blocks for leases differ in anything but the set of voters.
func leasesNeedRestart(a, b *config.Leases) bool {
	if a == nil || b == nil {
		return a != b
	}
	withoutVoters := func(l config.Leases) config.Leases {
		l.Version, l.Voters, l.FormerVoters = 0, nil, nil
		return l
	}
	return !reflect.DeepEqual(withoutVoters(*a), withoutVoters(*b))
}
