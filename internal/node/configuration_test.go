package node

import (
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"passtack/internal/config"
	"passtack/internal/eventloop/sim"
	"passtack/internal/pcg"
	"passtack/internal/persist"
	"passtack/internal/pgwire"
	"passtack/internal/rollout"
	"passtack/internal/rollout/server"
	"passtack/internal/settings"
	"passtack/internal/storage"
)

// controlMachines are three control machines in a simulated network.
type controlMachines struct {
	fleet   *simulatedFleet
	servers []*server.Server
	hosts   []*sim.Host
	lastID  uint64
}

// simStorage stores the state of a control machine after 2 ms of simulated time.
type simStorage struct {
	world *sim.World
	host  *sim.Host
}

func (d simStorage) Persist(_ server.PersistedState, done func(error)) {
	d.world.At(d.world.Now()+2*time.Millisecond, func() { d.host.Post(func() { done(nil) }) })
}

func controlAddress(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.8.%d:7400", n+1))
}

func (f *simulatedFleet) startControlMachines() *controlMachines {
	c := &controlMachines{fleet: f}
	for n := range 3 {
		h := f.world.AddHost(fmt.Sprint("control", n))
		machineConfig := server.MachineConfig{Fleet: "shop", Name: h.Name, Listen: controlAddress(n)}
		for o := range 3 {
			if o != n {
				machineConfig.Peers = append(machineConfig.Peers, server.Peer{Name: fmt.Sprint("control", o), Address: controlAddress(o)})
			}
		}
		s, err := server.New(f.loopOn(h), machineConfig, simStorage{f.world, h}, server.PersistedState{}, uint64(n+1))
		if err != nil {
			f.t.Fatal(err)
		}
		c.servers, c.hosts = append(c.servers, s), append(c.hosts, h)
	}
	return c
}

// publish publishes a text as the next version and simulates one second. It returns the version that is committed then.
func (c *controlMachines) publish(text string) uint64 {
	c.lastID++
	for n, s := range c.servers {
		if s.Machine().IsWriter() {
			id := c.lastID
			c.hosts[n].Post(func() {
				s.Machine().Publish(rollout.PublishRequest{RequestID: id, PublicationID: id, BaseVersion: s.Machine().Committed().Version, Text: text})
			})
			c.fleet.advance(time.Second)
			return s.Machine().Committed().Version
		}
	}
	c.fleet.t.Fatal("no control machine is the writer")
	return 0
}

func (f *simulatedFleet) advance(duration time.Duration) { f.world.Run(f.world.Now() + duration) }

func configurationBlock(folder string) string {
	text := fmt.Sprintf("configuration {\n  fleet = \"shop\"\n  machines = [%q, %q, %q]\n", controlAddress(0), controlAddress(1), controlAddress(2))
	if folder != "" {
		text += fmt.Sprintf("  folder = %q\n", folder)
	}
	return text + "}\n"
}

// startConfiguredDriver starts a driver that polls three control machines and has three members. extra is appended to its operator's file.
// The function returned stops the driver and starts it again.
func startConfiguredDriver(t *testing.T, folder, extra string) (*simulatedFleet, *controlMachines, func() *Node) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	f := &simulatedFleet{t: t, world: sim.New(5, epoch), random: pcg.New(5), answers: make(map[string]string), executions: make(map[string]int)}
	for i := range 3 {
		f.addMember(i, roleName(i == 0))
	}
	c := f.startControlMachines()
	d := &simDriver{host: f.world.AddHost("d0"), address: netip.MustParseAddrPort("10.0.0.1:6543")}
	f.drivers = append(f.drivers, d)
	var targets []string
	for j, m := range f.members {
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"a","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}`, j, m.address))
	}
	start := func() *Node {
		if d.node != nil {
			d.host.Kill()
			d.node.CloseStores()
			d.host.Start()
		}
		site := &Site{Name: "d0", Listen: d.address, Discovery: netip.MustParseAddrPort("10.0.9.1:8500"), Seed: f.randomSeed(), Descriptors: 256, Memory: 64 << 20,
			InitialList: []byte(endpointList(1, true, targets...)), Settings: settings.Flatten(simSettings(t))}
		file, err := site.ParseConfig([]byte(configurationBlock(folder)+extra), "d0.hcl")
		if err != nil {
			t.Fatal(err)
		}
		if d.node, err = On(f.loopOn(d.host), site, file); err != nil {
			t.Fatal(err)
		}
		return d.node
	}
	start()
	f.advance(4 * time.Second)
	return f, c, start
}

// sendRPC sends one RPC on a connection of its own, and returns a function that returns its answer, "" while there is none.
func (f *simulatedFleet) sendRPC(method string, deadlineMS int) (answer func() string) {
	f.sent++
	c := &simClient{fleet: f, loop: f.loopOn(f.world.AddHost(fmt.Sprint("say", f.sent))), to: f.drivers[0].address, name: "say", until: f.world.Now()}
	c.id = fmt.Sprintf("say-%d", f.sent)
	c.loop.Defer(func() {
		var err error
		if c.stream, err = c.loop.Dial(c.to, c, 1<<20); err != nil {
			f.t.Error(err)
			return
		}
		text := taggedStatement(c.id, method, deadlineMS, 0)
		if method == "look" {
			text = strings.Replace(text, "INSERT INTO items (id, doc) VALUES ('", "SELECT doc FROM items WHERE id = ('", 1)
		}
		c.stream.Send(pgwire.AppendStartup(nil, "app", "shop"), queryMessage(text))
	})
	return func() string { return f.answers[c.id] }
}

const replacedMethods = `{"settings":{"classes":[
 {"name":"buy","effect":"unsafe","points":9,"target_us":500000,"hard_limit_us":900000},
 {"name":"look","effect":"safe","points":2,"target_us":300000,"hard_limit_us":700000}],
 "family_info":{"class_read":["update","loose"]},"caps":{"most_tries":3,"max_retry_after_us":7000}},"limits":{"sockets":300}}`

// Methods, caps and limits of a published version are applied together. RPCs of a removed method that are in progress are answered and
// later ones rejected; new methods are served. An empty version restores the driver's own file.
func TestPublishedVersionIsApplied(t *testing.T) {
	f, c, _ := startConfiguredDriver(t, "", "")
	n := f.drivers[0].node
	if got := n.Configuration(); got.Version != 0 || n.configuration.status().SilentMS > 2000 {
		t.Fatalf("%+v, %+v", got, n.configuration.status())
	}
	for _, m := range f.members {
		m.responseDelay = 500 * time.Millisecond
	}
	inFlightAnswer := f.sendRPC("pay", 1500)
	f.advance(100 * time.Millisecond)
	if v := c.publish(replacedMethods); v != 1 || n.Configuration().Version != 1 {
		t.Fatalf("version %d is published, want 1; the driver reports %+v", v, n.Configuration())
	}
	if inFlightAnswer() != "ok" {
		t.Errorf("the RPC in progress is answered %q, want ok", inFlightAnswer())
	}
	for _, m := range f.members {
		m.responseDelay = 20 * time.Millisecond
	}
	buyAnswer, payAnswer, lookAnswer := f.sendRPC("buy", 800), f.sendRPC("pay", 800), f.sendRPC("look", 600)
	f.advance(time.Second)
	if buyAnswer() != "ok" || lookAnswer() != "ok" || payAnswer() == "ok" || payAnswer() == "" {
		t.Errorf("a new method is answered %q, want ok; an unchanged one %q, want ok; a removed one %q, want a rejection", buyAnswer(), lookAnswer(), payAnswer())
	}
	if got := n.Settings(); got["caps.attempts"] != "3" || got["caps.longest_wait"] != "7000" || got["caps.cancel"] == "" || n.rpcs.maxAttempts != 3 || n.loop.MaxDescriptors() != 300-3 {
		t.Errorf("caps %s and %s, cancel %q, %d attempts, %d descriptors", got["caps.attempts"], got["caps.longest_wait"], got["caps.cancel"], n.rpcs.maxAttempts, n.loop.MaxDescriptors())
	}
	if v := c.publish(`{}`); v != 2 || n.Configuration().Version != 2 {
		t.Fatalf("version %d, %+v", v, n.Configuration())
	}
	payAnswer, buyAnswer = f.sendRPC("pay", 800), f.sendRPC("buy", 800)
	f.advance(time.Second)
	if payAnswer() != "ok" || buyAnswer() == "ok" || n.loop.MaxDescriptors() != 256-3 {
		t.Errorf("after the empty version: pay is answered %q, want ok; buy %q, want a rejection; %d descriptors", payAnswer(), buyAnswer(), n.loop.MaxDescriptors())
	}
}

// A version that the driver cannot use is rejected as a whole, and the reason is reported to the control machines. The version in force
// does not change.
func TestUnusableVersionIsRejected(t *testing.T) {
	front := `front "odata" "shop" {
  listen = "10.0.0.1:8080"
  set "Items" {
    key    = "Id"
    groups = [0]
    property "Id" {}
    operation "read" {
      method    = "look"
      statement = "SELECT doc FROM items WHERE id = {key}"
    }
  }
}
`
	f, c, _ := startConfiguredDriver(t, "", front)
	n := f.drivers[0].node
	c.publish(`{"settings":{"caps":{"max_retry_after_us":7000}}}`)
	for text, want := range map[string]string{
		`{"settings":{"family_info":{"class_read":["old"]}}}`: `settings.family_info.class_read is "old" for classes.0`,
		`{"settings":{"classes":[{"name":"seek","effect":"safe","points":2,"target_us":300000,"hard_limit_us":700000}],"family_info":{"class_read":["loose"]}}}`: `the operator's file does not go with it: d0.hcl:`,
		`{"settings":{"classes":[{"name":"look","effect":"keyed","group":"cell","points":2,"target_us":300000,"hard_limit_us":700000}]}}`:                        `settings.classes.0.window_us is ""`,
		`{"settings":{"classes":[{"name":"look","effect":"safe","points":2,"target_us":300000,"hard_limit_us":7000}]}}`:                                          `settings.classes.0.hard_limit_us is "7000": it is under target_us, "300000"`,
	} {
		v := c.publish(text)
		got := n.Configuration()
		if got.Version >= v || got.RejectedVersion != v || !strings.HasPrefix(got.RejectReason, want) {
			t.Errorf("%s: %+v", text, got)
		}
		if n.Settings()["caps.longest_wait"] != "7000" {
			t.Error("a part of the rejected version is in force")
		}
	}
	lookAnswer := f.sendRPC("look", 600)
	f.advance(time.Second)
	if lookAnswer() != "ok" {
		t.Errorf("an RPC is answered %q, want ok", lookAnswer())
	}
	if v := c.publish(`{"settings":{"caps":{"max_retry_after_us":8000}}}`); n.Configuration().Version != v || n.Configuration().RejectedVersion != 0 {
		t.Errorf("after a valid version the driver reports %+v", n.Configuration())
	}
}

// A version that conflicts with the operator's file is applied after the file has been corrected and reloaded.
func TestRejectedVersionIsAppliedAfterReload(t *testing.T) {
	front := func(method string) string {
		return fmt.Sprintf("front \"odata\" \"shop\" {\n  listen = \"10.0.0.1:8080\"\n  set \"Items\" {\n    key = \"Id\"\n    groups = [0]\n    property \"Id\" {}\n    operation \"read\" {\n      method = %q\n"+
			"      statement = \"SELECT doc FROM items WHERE id = {key}\"\n    }\n  }\n}\n", method)
	}
	f, c, _ := startConfiguredDriver(t, "", front("look"))
	n := f.drivers[0].node
	v := c.publish(`{"settings":{"classes":[{"name":"seek","effect":"safe","points":2,"target_us":300000,"hard_limit_us":700000}],"family_info":{"class_read":["loose"]}}}`)
	if got := n.Configuration(); got.RejectedVersion != v {
		t.Fatalf("%+v", got)
	}
	site := *n.site
	file, err := config.Parse([]byte(configurationBlock("")+front("seek")), "d0.hcl", site.Listen, []config.Method{{Name: "seek", Need: "any", Idempotent: true, SoftDeadline: time.Second, MaxDeadline: time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	f.drivers[0].host.Post(func() { n.reload(&site, file, nil) })
	f.advance(2 * time.Second)
	if got := n.Configuration(); got.Version != v || got.RejectedVersion != 0 {
		t.Errorf("%+v", got)
	}
}

// A driver with a folder restarts with the version that was in force, even if no control machine runs. Without a folder it restarts with
// its own file.
func TestRestartRestoresAppliedVersion(t *testing.T) {
	for _, folder := range []string{t.TempDir(), ""} {
		f, c, start := startConfiguredDriver(t, folder, "")
		c.publish(`{"settings":{"tick_us":8000,"areas":["b","a"],"caps":{"max_retry_after_us":7000}}}`)
		n := f.drivers[0].node
		if got := n.Configuration(); got.Version != 1 || strings.Join(got.NeedsRestart, " ") != "tick_us areas" || n.rpcs.tick != 5*time.Millisecond {
			t.Errorf("%+v, tick %v", got, n.rpcs.tick)
		}
		for _, h := range c.hosts {
			h.Kill()
		}
		n = start()
		want := map[bool]uint64{true: 1, false: 0}[folder != ""]
		if got := n.Configuration(); got.Version != want || len(got.NeedsRestart) > 0 {
			t.Errorf("with folder %q: %+v", folder, got)
		}
		if folder != "" && (n.rpcs.tick != 8*time.Millisecond || n.Settings()["caps.longest_wait"] != "7000" || n.members.zones[0] != "b") {
			t.Errorf("tick %v, %v, zones %v", n.rpcs.tick, n.Settings()["caps.longest_wait"], n.members.zones)
		}
		lookAnswer := f.sendRPC("look", 600)
		f.advance(3 * time.Second)
		if lookAnswer() != "ok" {
			t.Errorf("without control machines an RPC is answered %q, want ok", lookAnswer())
		}
		if s := n.configuration.status(); s.SilentMS < 2500 || n.Counted("configuration_poll_failures") == 0 {
			t.Errorf("%+v", s)
		}
		n.CloseStores()
	}
}

// A stored version that is no longer valid is rejected at the start, and the driver serves with its own file.
func TestUnusableStoredVersionIsIgnored(t *testing.T) {
	folder := t.TempDir()
	f, c, start := startConfiguredDriver(t, folder, "")
	c.publish(`{"settings":{"caps":{"max_retry_after_us":7000}}}`)
	f.drivers[0].host.Kill()
	f.drivers[0].node.CloseStores()
	for _, h := range c.hosts {
		h.Kill()
	}
	store, _, err := persist.Open(folder, "d0", maxConfigurationBytes)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Commit([]storage.Change{{Name: configurationRecord, Value: append([]byte{9, 0, 0, 0, 0, 0, 0, 0}, `{"settings":{"clases":[]}}`...)}}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	n := start()
	if got := n.Configuration(); got.Version != 0 || got.RejectedVersion != 9 || !strings.Contains(got.RejectReason, "settings.clases") {
		t.Errorf("%+v", got)
	}
	lookAnswer := f.sendRPC("look", 600)
	f.advance(time.Second)
	if lookAnswer() != "ok" {
		t.Errorf("an RPC is answered %q, want ok", lookAnswer())
	}
	n.CloseStores()
}

// findInconsistency returns how a driver's settings differ from the version that it reports, or why they are invalid, or "" if they agree.
func findInconsistency(n *Node, published map[uint64]string) string {
	if err := settings.New(n.Settings()).Validate(); err != nil {
		return "the settings in force are invalid: " + err.Error()
	}
	p, err := settings.ParsePublished([]byte(published[n.Configuration().Version]))
	if err != nil {
		return err.Error()
	}
	want, err := p.MergeOver(n.configuration.local.settings)
	if err != nil {
		return err.Error()
	}
	for _, path := range []string{"caps.longest_wait", "caps.attempts", "methods.count", "family_info.needs"} {
		if n.Settings()[path] != want[path] {
			return fmt.Sprintf("%s is %q, version %d has %q", path, n.Settings()[path], n.Configuration().Version, want[path])
		}
	}
	return ""
}

// findInconsistency detects a driver that applies a version before it checks it.
func TestApplyBeforeCheckIsDetected(t *testing.T) {
	good, bad := `{"settings":{"caps":{"max_retry_after_us":7000}}}`, `{"settings":{"caps":{"max_retry_after_us":9000},"family_info":{"class_read":["old"]}}}`
	for _, mutated := range []bool{false, true} {
		_, c, _ := startConfiguredDriver(t, "", "")
		n := c.fleet.drivers[0].node
		published := map[uint64]string{c.publish(good): good}
		if inconsistency := findInconsistency(n, published); inconsistency != "" {
			t.Fatal(inconsistency)
		}
		if mutated { // the steps of VersionOffered and apply in the wrong order
			unchecked := n.Settings()
			unchecked["caps.longest_wait"], unchecked["family_info.needs"] = "9000", "old"
			n.configuration.apply(&checkedVersion{version: 2, text: []byte(bad), settings: unchecked, operatorFile: n.config})
			if _, err := n.configuration.local.check(2, []byte(bad)); err != nil {
				n.configuration.report.Version = 1
				n.configuration.reject(2, err)
			}
		} else {
			published[c.publish(bad)] = bad
		}
		inconsistency := findInconsistency(n, published)
		if (inconsistency != "") != mutated {
			t.Errorf("mutated %v: %q", mutated, inconsistency)
		}
	}
}
