package node

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"passtack/internal/config"
	odatafront "passtack/internal/front/odata"
	pgfront "passtack/internal/front/pg"
	"passtack/internal/rollout"
	watch "passtack/internal/rollout/client"
	"passtack/internal/storage"
	"passtack/internal/terms"
)

// configuration is what the driver is told by control machines, where the operator's file names some.
type configuration struct {
	node     *Node
	client   *watch.Client
	base     own // what the driver's own file says
	standing rollout.DriverReport
	since    time.Duration // when that version came into force here
	memory   int64         // of that version, 0: as the driver's own file has it
	sockets  int
	store    *storage.Store // nil: nothing is kept
	quiet    time.Duration
}

// own is what published configurations go over.
type own struct {
	terms       map[string]string
	wants       *config.File
	memory      int64
	descriptors int
}

// prepared is a configuration that has been checked whole.
type prepared struct {
	version uint64
	text    []byte
	terms   map[string]string
	wants   *config.File
	memory  int64 // 0: as the driver's own file has it
	sockets int
}

const (
	configurationFolder = 4 << 20                // bytes that it may take
	keeping             = 500 * time.Millisecond // that the disk has until a version comes into force all the same
	inForceName         = "configuration"        // 8 bytes version, the text
)

// prepare checks a text against what the driver has of its own. It changes nothing, and may be called by a worker.
func (o own) prepare(version uint64, text []byte) (*prepared, error) {
	p, err := terms.ParsePublished(text)
	if err != nil {
		return nil, err
	}
	all, err := p.Over(o.terms)
	if err != nil {
		return nil, err
	}
	wants, err := o.wants.Recheck(methodsOf(all))
	if err != nil {
		return nil, fmt.Errorf("the operator's file does not go with it: %s", strings.SplitN(err.Error(), "\n", 2)[0])
	}
	return &prepared{version: version, text: text, terms: all, wants: wants, memory: p.MemoryMB << 20, sockets: p.Sockets}, nil
}

// CheckPublished tells why a driver could not take over a configuration.
func CheckPublished(site *Site, wants *config.File, text []byte) error {
	_, err := own{site.Settings, wants, site.Memory, site.Descriptors}.prepare(0, text)
	return err
}

// recallConfiguration begins with the version that the folder has, before anything is made by the settings.
func (n *Node) recallConfiguration() {
	w := n.config.Configuration
	if w == nil {
		return
	}
	s := n.site
	c := &configuration{node: n, base: own{s.Settings, n.config, s.Memory, s.Descriptors}, standing: rollout.DriverReport{Driver: s.Name}, since: n.loop.Now()}
	n.configuration = c
	if w.DataDir == "" {
		return
	}
	store, found, err := n.openFolder(w.DataDir, configurationFolder)
	if err != nil {
		slog.Warn("configuration_folder_unusable", "folder", w.DataDir, "cause", err)
		n.Count("configuration_folder_unusable")
		return
	}
	for _, lost := range found.Unreadable {
		slog.Warn("configuration_lost", "file", lost)
	}
	c.store = store
	store.ForEach(func(name string, value []byte) {
		if name != inForceName || len(value) < 8 {
			return
		}
		version, text := binary.LittleEndian.Uint64(value), value[8:]
		p, err := c.base.prepare(version, text)
		if err != nil {
			c.refuse(version, err)
			return
		}
		s.Settings, n.config, c.memory, c.sockets = p.terms, p.wants, p.memory, p.sockets
		c.standing.Version = version
		c.limit()
		slog.Info("configuration_recalled", "version", version, "bytes", len(text))
	})
}

// watchConfiguration begins to ask for newer versions.
func (n *Node) watchConfiguration() {
	if c := n.configuration; c != nil {
		w := n.config.Configuration
		c.client = watch.New(n.loop, c, w.Fleet, n.site.Name, w.Machines, n.site.Seed+101)
	}
}

func (c *configuration) Report() rollout.DriverReport { return c.standing }
func (c *configuration) Count(what string)            { c.node.Count(what) }

// Offered checks a newer version on a worker, keeps it, and takes it over between two turns of the loop.
func (c *configuration) VersionOffered(version uint64, text []byte) {
	n, base := c.node, c.base
	var next *prepared
	n.carry(func() (err error) {
		next, err = base.prepare(version, text)
		return err
	}, func(err error, _ time.Duration) {
		if version <= c.standing.Version {
			return
		}
		if err != nil {
			c.refuse(version, err)
			c.client.Settled()
			return
		}
		c.keep(next)
	})
}

func (c *configuration) refuse(version uint64, cause error) {
	c.standing.RejectedVersion, c.standing.RejectReason = version, cause.Error()
	c.node.Count("configuration_refused")
	slog.Warn("configuration_refused", "version", version, "cause", cause, "in_force", c.standing.Version)
}

// keep brings a version to the disk before it comes into force, so that a restart does not go back behind it. A disk that stalls holds it up
// for a moment only.
func (c *configuration) keep(next *prepared) {
	if c.store == nil {
		c.adopt(next)
		return
	}
	n, done := c.node, false
	adopt := func() {
		if !done {
			done = true
			c.adopt(next)
		}
	}
	value := append(binary.LittleEndian.AppendUint64(nil, next.version), next.text...)
	n.carry(func() error { return c.store.Commit([]storage.Change{{Name: inForceName, Value: value}}) }, func(err error, _ time.Duration) {
		if err != nil {
			n.Count("configuration_not_kept")
			if now := n.loop.Now(); now >= c.quiet {
				c.quiet = now + quietFor
				slog.Warn("configuration_not_kept", "version", next.version, "cause", err)
			}
		}
		adopt()
	})
	n.loop.At(n.loop.Now()+keeping, adopt)
}

// adopt puts a checked version into force.
func (c *configuration) adopt(next *prepared) {
	if next.version <= c.standing.Version {
		return
	}
	n, s := c.node, c.node.site
	running, err := terms.Running(s.Settings, next.terms)
	if err != nil {
		c.refuse(next.version, err)
		c.client.Settled()
		return
	}
	c.standing = rollout.DriverReport{Driver: s.Name, Version: next.version, NeedsRestart: terms.Restart(s.Settings, next.terms)}
	c.since = n.loop.Now()
	lax := s.Settings["rules.only_draining_binds"] != running["rules.only_draining_binds"]
	n.timer.resume()
	s.Settings, c.memory, c.sockets = running, next.memory, next.sockets
	c.limit()
	n.follow()
	n.module.Change(running)
	c.standing.NeedsRestart = append(c.standing.NeedsRestart, n.applyConfig(next.wants)...)
	if lax { // who may be sent to is judged by lists
		n.list.Fetch()
	}
	n.Count("configurations")
	slog.Info("configuration", "version", next.version, "bytes", len(next.text), "needs_restart", strings.Join(c.standing.NeedsRestart, ","))
	c.client.Settled()
}

// limit puts what is published of limits over what the driver's own file says.
func (c *configuration) limit() {
	s := c.node.site
	if s.Memory = c.base.memory; c.memory > 0 {
		s.Memory = c.memory
	}
	if s.Descriptors = c.base.descriptors; c.sockets > 0 {
		s.Descriptors = c.sockets
	}
	c.node.limit()
}

// limit lets the loop and the runtime go by the site's limits.
func (n *Node) limit() {
	n.loop.Limit(n.site.Descriptors, int(n.site.Memory/bufferFraction))
	if !n.simulated {
		debug.SetMemoryLimit(n.site.Memory * 3 / 4)
	}
}

// follow lets all parts of the driver but the module go by the site's terms.
func (n *Node) follow() {
	s := n.site
	n.rpcs.maxAttempts = int(terms.New(s.Settings).Number("caps.attempts", 1))
	n.members.zones = strings.Split(s.Settings["zones"], ",")
	connect, idle := s.duration("caps.connect_timeout", defaultConnectTimeout), s.duration("caps.idle_close", defaultIdleTimeout)
	n.members.connectLimiter.SetTimeout(connect)
	for _, p := range n.members.pools {
		p.Within(connect, idle)
	}
	methods := s.methods()
	for _, d := range n.listeners.all {
		switch f := d.front.(type) {
		case *pgfront.Front:
			asked := slices.Clone(methods.names)
			for i, gone := range methods.retired {
				if gone {
					asked[i] = ""
				}
			}
			f.Methods(asked, methods.inSession, methods.tokened)
		case *odatafront.Front: // what it offers names none that is retired
			f.Methods(methods.names)
		}
	}
}

// reloaded takes over what the driver's own files say by now of what needs no restart; what is published goes over it. A version that was
// refused may go with the files by now.
func (c *configuration) reloaded(fresh *Site, wants *config.File) {
	c.base.memory, c.base.descriptors, c.base.wants = fresh.Memory, fresh.Descriptors, wants
	c.standing.RejectedVersion, c.standing.RejectReason = 0, ""
	c.limit()
}

// ConfigurationStatus is what a driver tells of the configuration that it has in force. Times are in milliseconds.
type ConfigurationStatus struct {
	Version  uint64 // 0: what its own file says
	ForMS    int64  // since it came into force here
	Machine  string // that is asked
	SilentMS int64  // since any machine answered
	Refused  uint64
	Why      string
	Restart  []string
}

func (c *configuration) status() *ConfigurationStatus {
	if c == nil {
		return nil
	}
	machine, silent := c.client.CurrentMachine()
	t := c.standing
	return &ConfigurationStatus{Version: t.Version, ForMS: (c.node.loop.Now() - c.since).Milliseconds(), Machine: machine.String(), SilentMS: silent.Milliseconds(),
		Refused: t.RejectedVersion, Why: t.RejectReason, Restart: t.NeedsRestart}
}

// Configuration is what holds, for who looks.
func (n *Node) Configuration() rollout.DriverReport {
	if n.configuration == nil {
		return rollout.DriverReport{}
	}
	return n.configuration.standing
}

// Terms gives the settings that hold, for who compares.
func (n *Node) Terms() map[string]string { return maps.Clone(n.site.Settings) }
