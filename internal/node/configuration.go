package node

import (
	"log/slog"
	"maps"
	"strings"
	"time"

	"passtack/internal/config"
	"passtack/internal/rollout"
	rolloutclient "passtack/internal/rollout/client"
	"passtack/internal/settings"
)

// Names of the counters for published configurations.
const (
	counterVersionsApplied  = "configuration_versions_applied"
	counterVersionsRejected = "configuration_versions_rejected"
	counterStoreFailures    = "configuration_store_failures"
	counterFolderUnusable   = "configuration_folder_unusable"
)

// configuration polls the control machines that the operator's file names and applies the configuration versions that they publish for
// the whole fleet. It implements rolloutclient.Host. A version passes through VersionOffered, where a worker checks it, then persist and apply.
type configuration struct {
	node         *Node
	client       *rolloutclient.Client // nil until watchConfiguration is called
	storage      *configurationStorage
	local        localConfiguration
	published    publishedLimits
	report       rollout.DriverReport
	inForceSince time.Duration // when report.Version was applied
}

// publishedLimits are the limits that the version in force sets. For a limit of 0 the driver's own file applies.
type publishedLimits struct {
	memoryBytes int64
	sockets     int
}

// restoreConfiguration puts the stored version into force, before any part of the driver reads its settings.
func (n *Node) restoreConfiguration() {
	block := n.config.Configuration
	if block == nil {
		return
	}
	c := &configuration{
		node:         n,
		local:        newLocalConfiguration(n.site, n.config),
		report:       rollout.DriverReport{Driver: n.site.Name},
		inForceSince: n.loop.Now(),
	}
	n.configuration = c
	if block.DataDir == "" {
		return
	}
	storage := n.openConfigurationStorage(block.DataDir)
	if storage == nil {
		return
	}
	c.storage = storage
	if version, text, found := storage.read(); found {
		c.restore(version, text)
	}
}

// restore puts the stored version into force, unless it conflicts with the driver's own files, which may have changed.
func (c *configuration) restore(version uint64, text []byte) {
	stored, err := c.local.check(version, text)
	if err != nil {
		c.reject(version, err)
		return
	}
	c.node.site.Settings, c.node.config = stored.settings, stored.operatorFile
	c.published = stored.limits
	c.report.Version = version
	c.applyLimits()
	slog.Info("configuration version restored", "version", version, "bytes", len(text))
}

// watchConfiguration starts polling for newer versions.
func (n *Node) watchConfiguration() {
	if c := n.configuration; c != nil {
		block := n.config.Configuration
		c.client = rolloutclient.New(n.loop, c, block.Fleet, n.site.Name, block.Machines, n.site.Seed+101)
	}
}

// Report implements rolloutclient.Host.
func (c *configuration) Report() rollout.DriverReport { return c.report }

// Count implements rolloutclient.Host.
func (c *configuration) Count(counter string) { c.node.Count(counter) }

// VersionOffered implements rolloutclient.Host: a worker checks the version, which is then stored and applied.
func (c *configuration) VersionOffered(version uint64, text []byte) {
	local := c.local
	var next *checkedVersion
	c.node.workers.run(func() (err error) {
		next, err = local.check(version, text)
		return err
	}, func(err error, _ time.Duration) {
		switch {
		case version <= c.report.Version:
		case err != nil:
			c.reject(version, err)
			c.client.Settled()
		default:
			c.persist(next)
		}
	})
}

// reject records that the driver cannot use a version. The version in force does not change.
func (c *configuration) reject(version uint64, cause error) {
	c.report.RejectedVersion, c.report.RejectReason = version, cause.Error()
	c.node.Count(counterVersionsRejected)
	slog.Warn("configuration version rejected", "version", version, "cause", cause, "in_force", c.report.Version)
}

// persist stores a version before it is applied, so that a restart does not fall back to an older one. If the storage stalls, the version
// is applied after storeTimeout although it is not stored yet.
func (c *configuration) persist(next *checkedVersion) {
	if c.storage == nil {
		c.apply(next)
		return
	}
	n, applied := c.node, false
	applyOnce := func() {
		if !applied {
			applied = true
			c.apply(next)
		}
	}
	n.workers.run(func() error { return c.storage.write(next.version, next.text) }, func(err error, _ time.Duration) {
		if err != nil {
			n.Count(counterStoreFailures)
			c.storage.logFailure(next.version, err, n.loop.Now())
		}
		applyOnce()
	})
	n.loop.At(n.loop.Now()+storeTimeout, applyOnce)
}

// apply puts a checked version into force, in one iteration of the event loop.
func (c *configuration) apply(next *checkedVersion) {
	if next.version <= c.report.Version {
		return
	}
	n, site := c.node, c.node.site
	running, err := settings.MergeRunning(site.Settings, next.settings)
	if err != nil {
		c.reject(next.version, err)
		c.client.Settled()
		return
	}
	const drainingRule = "rules.only_draining_binds"
	drainingRuleChanged := site.Settings[drainingRule] != running[drainingRule]
	c.report = rollout.DriverReport{Driver: site.Name, Version: next.version, NeedsRestart: settings.NeedsRestart(site.Settings, next.settings)}
	c.inForceSince = n.loop.Now()
	n.timer.resume()
	site.Settings, c.published = running, next.limits
	c.applyLimits()
	n.applySettings()
	n.module.ApplySettings(running)
	c.report.NeedsRestart = append(c.report.NeedsRestart, n.applyConfig(next.operatorFile)...)
	if drainingRuleChanged { // the rule determines how the endpoint list decides which members receive requests
		n.discovery.Fetch()
	}
	n.Count(counterVersionsApplied)
	slog.Info("configuration version applied", "version", next.version, "bytes", len(next.text), "needs_restart", strings.Join(c.report.NeedsRestart, ","))
	c.client.Settled()
}

// applyLimits applies the published limits. A limit that is not published is taken from the driver's own file.
func (c *configuration) applyLimits() {
	site := c.node.site
	site.Memory, site.Descriptors = c.local.memoryBytes, c.local.descriptors
	if c.published.memoryBytes > 0 {
		site.Memory = c.published.memoryBytes
	}
	if c.published.sockets > 0 {
		site.Descriptors = c.published.sockets
	}
	c.node.applyLimits()
}

// reloadLocal takes over the values that need no restart from the driver's reloaded files. It clears the rejection of a version, because
// the version may be valid with the new files.
func (c *configuration) reloadLocal(fresh *Site, file *config.File) {
	c.local.memoryBytes, c.local.descriptors, c.local.operatorFile = fresh.Memory, fresh.Descriptors, file
	c.report.RejectedVersion, c.report.RejectReason = 0, ""
	c.applyLimits()
}

// close closes the storage.
func (c *configuration) close() {
	if c.storage != nil {
		c.storage.close()
	}
}

// ConfigurationStatus describes the published configuration on one driver. Times are in milliseconds.
type ConfigurationStatus struct {
	Version         uint64   // version in force; 0: the driver's own file
	InForceMS       int64    `json:"ForMS"` // time since Version was applied
	Machine         string   // control machine that is polled
	SilentMS        int64    // time since the last answer of any control machine
	RejectedVersion uint64   `json:"Refused"` // newer version that the driver cannot use; 0: none
	RejectReason    string   `json:"Why"`
	NeedsRestart    []string `json:"Restart"` // settings that take effect only after a restart
}

// status returns nil if no control machines are polled.
func (c *configuration) status() *ConfigurationStatus {
	if c == nil {
		return nil
	}
	machine, silent := c.client.CurrentMachine()
	return &ConfigurationStatus{
		Version:         c.report.Version,
		InForceMS:       (c.node.loop.Now() - c.inForceSince).Milliseconds(),
		Machine:         machine.String(),
		SilentMS:        silent.Milliseconds(),
		RejectedVersion: c.report.RejectedVersion,
		RejectReason:    c.report.RejectReason,
		NeedsRestart:    c.report.NeedsRestart,
	}
}

// Configuration returns the report that the driver sends to control machines.
func (n *Node) Configuration() rollout.DriverReport {
	if n.configuration == nil {
		return rollout.DriverReport{}
	}
	return n.configuration.report
}

// Settings returns a copy of the settings in force.
func (n *Node) Settings() map[string]string { return maps.Clone(n.site.Settings) }
