package play

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"passtack/internal/emu"
)

// Method is one method of a script.
type Method struct {
	Name, Need          string
	Effect              emu.Effect
	Work                [2]time.Duration
	SoftDeadline, Limit time.Duration
	Bound               time.Duration
	Window              time.Duration
	Utility             float64
	LateUtility         float64 // factor on Utility for an answer after the soft deadline
	Share               float64 // of the RPCs, relative to the other methods
}

// Fault is a trouble block of a script: something that happens to some of the nodes, or to the links between them.
type Fault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	On       []int // numbers of members, drivers or control machines
	Times    float64
	Within   time.Duration // drivers that were ended start again one after the other within this time
	Folder   string        // what happens to stored state before the restart: kept, emptied, older, flipped or stalled

	From, To   []string   // nodes at the two ends of the links
	OneWay     bool       // only from From to To
	Islands    [][]string // of a partition: a node reaches only nodes that share an island with it
	Every      time.Duration
	By, Jitter time.Duration
	Rate       int
}

// Script describes one run: the fleet, the load, the faults and the expected result.
type Script struct {
	Name               string
	Duration           time.Duration
	Drivers            int
	Groups, Members    int // members per group
	Zones              int // over which drivers and each group's members are spread
	MemberSpec         emu.MemberSpec
	Election           emu.Election
	ListDelay          time.Duration
	Peers              bool          // drivers may send datagrams to each other
	Operator           string        // path of an operator's file for all drivers, empty: none
	StateFolders       bool          // drivers store what they learn
	SaveEvery          time.Duration // interval at which they store it
	StartWithFirstList bool          // drivers always start with the list from the start of the run
	Controls           int           // number of control machines that all drivers ask, 0: none
	Publications       []Publication // configurations that are published on the control machines
	Twins              []int         // drivers that start under the name of the one before them
	Older              []int         // drivers that run an older program, where drivers are processes
	Leases             *Leases       // nil: none
	ViewConnections    int           // limit of one member for all drivers, shared among them; 0: not set
	View               time.Duration // interval at which drivers query each other for their views of the fleet; 0: no views
	Methods            []*Method
	Rate               float64 // RPCs per second
	LoadChanges        []LoadChange
	Sessions           int
	Retries            int
	HonorsRetryAfter   bool          // clients retry no earlier than they are told
	Route              string        // how clients pick their driver: fixed, stay or spread
	BalancerDetection  time.Duration // from the death of a driver until the balancer notices it
	Grace              time.Duration
	Faults             []Fault
	MinOK              float64       // expected part of the RPCs that are ok
	removedStart       time.Duration // last restart among removed driver faults
}

// LoadChange is a period with a different rate.
type LoadChange struct {
	From, To time.Duration
	Times    float64
}

func (s *Script) method(name string) *Method {
	for _, m := range s.Methods {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// faultKind says what a kind of fault acts on, and which optional keys it takes beside at and lasts.
type faultKind struct {
	target, keys string
}

var faultKinds = map[string]faultKind{
	"pause": {"member", "part"}, "kill": {"member", "part"}, "drain": {"member", ""},
	"slow": {"member", "times"}, "theft": {"member", "times"}, "lag": {"member", "times"},
	"driver_kill": {"driver", "within part folder times every"}, "driver_stop": {"driver", "within part folder"}, "driver_pause": {"driver", "part"},
	"control_kill": {"control", "folder"}, "control_pause": {"control", ""},
	"voters":    {"driver", ""}, // the new voters; until the fault ends they vote together with the former ones
	"discovery": {"agent", ""}, "discovery_old": {"none", ""},
	"cut": {"link", "every one_way"}, "refuse": {"link", "every"}, "reset": {"link", ""},
	"loss": {"link", "times every one_way"}, "delay": {"link", "by jitter every one_way"},
	"double": {"link", "times by every one_way"}, "reorder": {"link", "times by every one_way"},
	"thin": {"link", "rate every one_way"}, "partition": {"link", "islands every"},
}

// scriptText is the HCL form of a script.
type scriptText struct {
	Lasts string `hcl:"lasts"`
	Fleet struct {
		Drivers   int    `hcl:"drivers"`
		Groups    int    `hcl:"groups,optional"`
		Members   int    `hcl:"members"`
		Zones     int    `hcl:"zones,optional"`
		Cores     int    `hcl:"cores,optional"`
		Queue     int    `hcl:"queue,optional"`
		Warm      string `hcl:"warm,optional"`
		Apply     string `hcl:"apply,optional"`
		ListDelay string `hcl:"list_delay,optional"`
		Handshake string `hcl:"handshake,optional"`
		Conns     int    `hcl:"connections,optional"`
		Peers     bool   `hcl:"peers,optional"`
		Operator  string `hcl:"operator,optional"`
		Older     []int  `hcl:"older,optional"`
		Twins     []int  `hcl:"twins,optional"`
		Controls  int    `hcl:"controls,optional"`
		Folders   bool   `hcl:"folders,optional"`
		SaveEvery string `hcl:"save_every,optional"`
		Known     string `hcl:"known,optional"`
		Notice    string `hcl:"notice,optional"`
		Takeover  string `hcl:"takeover,optional"`
	} `hcl:"fleet,block"`
	Publish []publishText `hcl:"publish,block"`
	Leases  *leasesText   `hcl:"leases,block"`
	View    *struct {
		Every       string `hcl:"every,optional"`
		Connections int    `hcl:"connections,optional"`
	} `hcl:"view,block"`
	Load struct {
		Rate     float64 `hcl:"rate"`
		Sessions int     `hcl:"sessions,optional"`
		Retries  int     `hcl:"retries,optional"`
		Obeys    *bool   `hcl:"obeys,optional"`
		Route    string  `hcl:"route,optional"`
		Notice   string  `hcl:"notice,optional"`
		Methods  []struct {
			Name    string  `hcl:"name,label"`
			Need    string  `hcl:"need"`
			Effect  string  `hcl:"effect,optional"`
			Work    string  `hcl:"work"`
			Soft    string  `hcl:"soft"`
			Limit   string  `hcl:"limit"`
			Bound   string  `hcl:"bound,optional"`
			Window  string  `hcl:"window,optional"`
			Utility float64 `hcl:"utility,optional"`
			Late    float64 `hcl:"late,optional"`
			Share   float64 `hcl:"share"`
		} `hcl:"method,block"`
		Surges []struct {
			From  string  `hcl:"from"`
			To    string  `hcl:"to"`
			Times float64 `hcl:"times"`
		} `hcl:"surge,block"`
	} `hcl:"load,block"`
	Troubles []struct {
		Kind    string     `hcl:"kind,label"`
		At      string     `hcl:"at"`
		Lasts   string     `hcl:"lasts,optional"`
		On      []int      `hcl:"on,optional"`
		Times   float64    `hcl:"times,optional"`
		Within  string     `hcl:"within,optional"`
		Part    float64    `hcl:"part,optional"`
		Folder  string     `hcl:"folder,optional"`
		From    []string   `hcl:"from,optional"`
		To      []string   `hcl:"to,optional"`
		OneWay  bool       `hcl:"one_way,optional"`
		Islands [][]string `hcl:"islands,optional"`
		Every   string     `hcl:"every,optional"`
		By      string     `hcl:"by,optional"`
		Jitter  string     `hcl:"jitter,optional"`
		Rate    int        `hcl:"rate,optional"`
	} `hcl:"trouble,block"`
	Expect []struct {
		OK float64 `hcl:"ok,optional"`
	} `hcl:"expect,block"`
}

// ReadScript reads and checks a script. Its error lists all problems, one per line.
func ReadScript(name string) (*Script, error) { return ReadScaled(name, 1) }

// ReadScaled is ReadScript with the drivers, groups, sessions and RPCs multiplied by the given factor.
func ReadScaled(name string, times int) (*Script, error) {
	in, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return parse(in, name, times)
}

// problems collects the errors found in a script.
type problems struct{ lines []string }

func (p *problems) add(format string, args ...any) {
	p.lines = append(p.lines, fmt.Sprintf(format, args...))
}

// ParseScript is ReadScript for a text.
func ParseScript(in []byte, name string) (*Script, error) { return parse(in, name, 1) }

func parse(in []byte, name string, times int) (*Script, error) {
	found := new(problems)
	all, diagnostics := parseBody(in, name, 0)
	var t scriptText
	if !diagnostics.HasErrors() {
		diagnostics = append(diagnostics, gohcl.DecodeBody(all, nil, &t)...)
	}
	for _, d := range diagnostics {
		at := hcl.Range{Filename: name}
		if d.Subject != nil {
			at = *d.Subject
		}
		found.add("%s:%d:%d: %s: %s", at.Filename, at.Start.Line, at.Start.Column, d.Summary, d.Detail)
	}
	if diagnostics.HasErrors() {
		return nil, fmt.Errorf("%s", strings.Join(found.lines, "\n"))
	}
	if t.Fleet.Groups == 0 {
		t.Fleet.Groups = 1
	}
	t.Fleet.Drivers, t.Fleet.Groups = t.Fleet.Drivers*times, t.Fleet.Groups*times
	t.Load.Rate, t.Load.Sessions = t.Load.Rate*float64(times), t.Load.Sessions*times
	lines := attributeLines(all)
	s := t.script(name, func(path, format string, args ...any) {
		at := lines[path]
		if at == "" {
			at = name + ":0"
		}
		found.add("%s: %s: %s", at, path, fmt.Sprintf(format, args...))
	})
	if len(found.lines) > 0 {
		sort.Strings(found.lines)
		return nil, fmt.Errorf("%s", strings.Join(found.lines, "\n"))
	}
	s.Name = name
	return s, nil
}

// attributeLines returns the file and line of each attribute and block by its path.
func attributeLines(body *hclsyntax.Body) map[string]string {
	lines, counts := make(map[string]string), make(map[string]int)
	line := func(r hcl.Range) string { return fmt.Sprintf("%s:%d", r.Filename, r.Start.Line) }
	var walk func(path string, b *hclsyntax.Body)
	walk = func(path string, b *hclsyntax.Body) {
		for name, a := range b.Attributes {
			lines[path+name] = line(a.SrcRange)
		}
		for _, inner := range b.Blocks {
			at := path + inner.Type
			for _, l := range inner.Labels {
				at += " " + l
			}
			if inner.Type == "trouble" || inner.Type == "surge" || inner.Type == "publish" {
				at = fmt.Sprintf("%s%s %d", path, inner.Type, counts[path+inner.Type]+1)
				counts[path+inner.Type]++
			}
			lines[at] = line(inner.TypeRange)
			walk(at+" ", inner.Body)
		}
	}
	walk("", body)
	return lines
}

// maxGroups allows 2,200 members in groups of two.
const maxGroups = 1100

func (t *scriptText) script(name string, report func(path, format string, args ...any)) *Script {
	duration := func(path, value string, otherwise time.Duration) time.Duration {
		if value == "" {
			return otherwise
		}
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 || d > 24*time.Hour {
			report(path, "%q is no time up to 24h", value)
		}
		return d
	}
	durationRange := func(path, value string, low, high time.Duration) [2]time.Duration {
		if value == "" {
			return [2]time.Duration{low, high}
		}
		from, to, ranged := strings.Cut(value, "..")
		if !ranged {
			to = from
		}
		b := [2]time.Duration{duration(path, from, 0), duration(path, to, 0)}
		if b[1] < b[0] {
			report(path, "%q ends before it begins", value)
		}
		return b
	}
	count := func(path string, n, otherwise, most int) int {
		if n == 0 {
			return otherwise
		}
		if n < 1 || n > most {
			report(path, "%d is not from 1 to %d", n, most)
		}
		return n
	}
	f := &t.Fleet
	s := &Script{
		Duration: duration("lasts", t.Lasts, 0), Drivers: count("fleet drivers", f.Drivers, 1, 500), Groups: count("fleet groups", f.Groups, 1, maxGroups),
		Members: count("fleet members", f.Members, 1, 50), Zones: count("fleet zones", f.Zones, 1, 26), ListDelay: duration("fleet list_delay", f.ListDelay, time.Second), Grace: 250 * time.Millisecond,
		MemberSpec: emu.MemberSpec{Cores: count("fleet cores", f.Cores, 4, 256), Queue: count("fleet queue", f.Queue, 64, 10000), ColdShare: 0.25,
			WarmUp: duration("fleet warm", f.Warm, 16*time.Second), ColdMultiple: 4, OverloadWindow: time.Second, MaxReadWait: 50 * time.Millisecond,
			Handshake: duration("fleet handshake", f.Handshake, 0), MaxConnections: f.Conns,
			LogDelay: 5 * time.Millisecond, ApplyTime: duration("fleet apply", f.Apply, time.Millisecond), DedupWindow: 1200 * time.Millisecond},
		Election: emu.Election{Detection: durationRange("fleet notice", f.Notice, time.Second, 2*time.Second),
			Takeover: durationRange("fleet takeover", f.Takeover, time.Second, 3*time.Second),
			HandOver: [2]time.Duration{300 * time.Millisecond, 900 * time.Millisecond}, DualClaim: 300 * time.Millisecond},
		Rate: t.Load.Rate, Sessions: count("load sessions", t.Load.Sessions, 200, 1<<20), Retries: t.Load.Retries,
		HonorsRetryAfter: t.Load.Obeys == nil || *t.Load.Obeys, Route: t.Load.Route, BalancerDetection: duration("load notice", t.Load.Notice, time.Second),
	}
	if s.Route == "" {
		s.Route = "fixed"
	}
	if !strings.Contains(" fixed stay spread ", " "+s.Route+" ") {
		report("load route", "%q is none of fixed, stay and spread", s.Route)
	}
	if s.StartWithFirstList = f.Known == "first"; f.Known != "" && f.Known != "first" && f.Known != "latest" {
		report("fleet known", "%q is neither first nor latest", f.Known)
	}
	s.StateFolders, s.SaveEvery = f.Folders, duration("fleet save_every", f.SaveEvery, 500*time.Millisecond)
	s.Twins = f.Twins
	for _, n := range f.Twins {
		if n < 1 || n >= s.Drivers {
			report("fleet twins", "there is no driver %d with one before it", n)
		}
	}
	if s.Peers, s.Older = f.Peers, f.Older; f.Operator != "" {
		s.Operator = filepath.Join(filepath.Dir(name), f.Operator)
	}
	if t.View != nil {
		s.ViewConnections = t.View.Connections
		if s.View = duration("view every", t.View.Every, time.Second); !s.Peers {
			report("view", "requires peers = true in the fleet block")
		}
	}
	if t.Leases != nil {
		s.Leases = t.Leases.read(s, duration, report)
	}
	t.controls(s, duration, report)
	for _, n := range f.Older {
		if n < 0 || n >= s.Drivers {
			report("fleet older", "there is no driver %d", n)
		}
	}
	if f.Conns < 0 {
		report("fleet connections", "%d is under 0", f.Conns)
	}
	if s.Duration < time.Second {
		report("lasts", "%v is under a second", s.Duration)
	}
	if s.Rate <= 0 || s.Rate > 1e5 {
		report("load rate", "%v is not over 0 and up to 100000", s.Rate)
	}
	if s.Retries < 0 || s.Retries > 10 {
		report("load retries", "%d is not from 0 to 10", s.Retries)
	}
	for _, m := range t.Load.Methods {
		at := "load method " + m.Name + " "
		effect, known := map[string]emu.Effect{"": emu.Idempotent, "idempotent": emu.Idempotent, "tokened": emu.Tokened, "non-idempotent": emu.NonIdempotent}[m.Effect]
		if !known {
			report(at+"effect", "%q is none of idempotent, tokened and non-idempotent", m.Effect)
		}
		if !strings.Contains(" any bounded session fresh write ", " "+m.Need+" ") {
			report(at+"need", "%q is none of any, bounded, session, fresh and write", m.Need)
		}
		if s.method(m.Name) != nil {
			report("load method "+m.Name, "another method has the same name")
		}
		if m.Share <= 0 {
			report(at+"share", "%v is not over 0", m.Share)
		}
		if m.Utility == 0 {
			m.Utility = 1
		}
		s.Methods = append(s.Methods, &Method{Name: m.Name, Need: m.Need, Effect: effect, Work: durationRange(at+"work", m.Work, 0, 0),
			SoftDeadline: duration(at+"soft", m.Soft, 0), Limit: duration(at+"limit", m.Limit, 0), Bound: duration(at+"bound", m.Bound, 0),
			Window: duration(at+"window", m.Window, 0), Utility: m.Utility, LateUtility: m.Late, Share: m.Share})
	}
	if len(s.Methods) == 0 {
		report("load", "no method block; at least one is needed")
	}
	for i, g := range t.Load.Surges {
		at := fmt.Sprintf("load surge %d ", i+1)
		change := LoadChange{duration(at+"from", g.From, 0), duration(at+"to", g.To, 0), g.Times}
		if change.To <= change.From || g.Times <= 0 || g.Times > 100 {
			report(strings.TrimSpace(at), "from %v to %v times %v: to must be after from, and times over 0 and up to 100", change.From, change.To, g.Times)
		}
		s.LoadChanges = append(s.LoadChanges, change)
	}
	for i, x := range t.Troubles {
		r := t.fault(s, i, duration, report)
		s.Faults = append(s.Faults, r)
		if target := faultKinds[r.Kind].target; target != "driver" || x.Times == 0 {
			continue
		}
		if r.Every <= r.Duration || x.Times != float64(int(x.Times)) || x.Times < 1 || r.At+time.Duration(x.Times)*r.Every > s.Duration {
			report(fmt.Sprintf("trouble %d", i+1), "%v times every %v, each for %v: times must be a whole number, every longer than lasts, and the end within the script", x.Times, r.Every, r.Duration)
			continue
		}
		for n := 1; n < int(x.Times); n++ {
			again := r
			again.At += time.Duration(n) * r.Every
			s.Faults = append(s.Faults, again)
		}
	}
	for _, e := range t.Expect {
		s.MinOK = e.OK
	}
	return s
}

// minFlapPeriod is the shortest period of a fault that comes and goes: all links are updated at each change.
const minFlapPeriod = 10 * time.Millisecond

// fault reads one trouble block. Keys that its kind does not take are an error, as are missing ones.
func (t *scriptText) fault(s *Script, i int, duration func(path, value string, otherwise time.Duration) time.Duration,
	report func(path, format string, args ...any)) Fault {
	x, at := t.Troubles[i], fmt.Sprintf("trouble %d", i+1)
	r := Fault{Kind: x.Kind, At: duration(at+" at", x.At, 0), Duration: duration(at+" lasts", x.Lasts, time.Second), On: x.On, Times: x.Times,
		Within: duration(at+" within", x.Within, 0), OneWay: x.OneWay, Every: duration(at+" every", x.Every, 0),
		By: duration(at+" by", x.By, 0), Jitter: duration(at+" jitter", x.Jitter, 0), Rate: x.Rate}
	k, known := faultKinds[x.Kind]
	if !known {
		report(at, "there is no trouble %q", x.Kind)
		return r
	}
	if r.At > s.Duration {
		report(at+" at", "%v is after the end", r.At)
	}
	if r.Every != 0 && r.Every < minFlapPeriod {
		report(at+" every", "%v is under %v", r.Every, minFlapPeriod)
	}
	has := func(name string) bool { return slices.Contains(strings.Fields(k.keys), name) }
	for name, given := range map[string]bool{"times": x.Times != 0, "within": x.Within != "", "one_way": x.OneWay, "islands": x.Islands != nil,
		"part": x.Part != 0, "folder": x.Folder != "", "every": x.Every != "", "by": x.By != "", "jitter": x.Jitter != "", "rate": x.Rate != 0} {
		if given && !has(name) {
			report(at+" "+name, "%s does not take this key", x.Kind)
		}
	}
	for name, missing := range map[string]bool{"rate": x.Rate <= 0, "islands": len(x.Islands) < 2} {
		if missing && has(name) {
			report(at, "%s is missing or too small", name)
		}
	}
	if r.Times == 0 {
		r.Times = map[string]float64{"double": 0.3, "reorder": 0.3}[x.Kind]
	}
	if r.Times == 0 {
		r.Times = 4
	}
	if has("by") && r.By == 0 {
		r.By = 50 * time.Millisecond
	}
	most := map[string]int{"member": s.Members * s.Groups, "driver": s.Drivers, "link": s.Drivers, "agent": s.Drivers, "control": s.Controls}[k.target]
	for _, n := range x.On {
		if n < 0 || n >= most {
			what := k.target
			if what == "link" || what == "agent" {
				what = "driver"
			}
			report(at+" on", "there is no %s %d", what, n)
		}
	}
	if k.target == "none" && len(x.On) > 0 {
		report(at+" on", "%s does not take this key", x.Kind)
	}
	if r.Folder = x.Folder; r.Folder != "" && !slices.Contains([]string{keptFolder, emptiedFolder, olderFolder, flippedFolder, stalledFolder}, r.Folder) {
		report(at+" folder", "%q is none of kept, emptied, older, flipped and stalled", r.Folder)
	}
	if x.Part < 0 || x.Part > 1 || x.Part > 0 && len(x.On) > 0 {
		report(at+" part", "%v is not from 0 to 1, or on is given too", x.Part)
	}
	for n := range int(x.Part*float64(most) + 0.999) {
		r.On = append(r.On, n)
	}
	if x.Kind == "voters" && s.Leases == nil {
		report(at, "the script has no leases")
	}
	if len(r.On) == 0 && (k.target == "member" || k.target == "driver" || k.target == "control") {
		report(at, "on is missing")
	}
	if k.target == "control" && r.Folder != "" && r.Folder != keptFolder && r.Folder != emptiedFolder {
		report(at+" folder", "%q is neither kept nor emptied", r.Folder)
	}
	if k.target != "link" && (x.From != nil || x.To != nil) {
		report(at, "%s does not take from and to", x.Kind)
	}
	if k.target == "link" && x.Kind != "partition" {
		r.readEndpoints(s, at, x.From, x.To, report)
	}
	for _, island := range x.Islands {
		var on []string
		for _, name := range island {
			names, err := s.readNodes(name)
			if err != nil {
				report(at+" islands", "%v", err)
			}
			on = append(on, names...)
		}
		r.Islands = append(r.Islands, on)
	}
	return r
}

// readEndpoints reads the two ends of the affected links: from and to, or the drivers in on and all members.
func (f *Fault) readEndpoints(s *Script, at string, from, to []string, report func(path, format string, args ...any)) {
	if len(from) == 0 && len(to) == 0 {
		for _, n := range f.On {
			f.From = append(f.From, Driver(n))
		}
		f.To, _ = s.readNodes("members")
		if len(f.On) == 0 {
			report(at, "on is missing, or from and to")
		}
		return
	}
	if len(f.On) > 0 || len(from) == 0 || len(to) == 0 {
		report(at, "either on, or both from and to must be given")
	}
	for name, texts := range map[string][]string{"from": from, "to": to} {
		for _, text := range texts {
			names, err := s.readNodes(text)
			if err != nil {
				report(at+" "+name, "%v", err)
			}
			if name == "from" {
				f.From = append(f.From, names...)
			} else {
				f.To = append(f.To, names...)
			}
		}
	}
}
