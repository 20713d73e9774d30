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
	Name, Need  string
	Effect      emu.Effect
	Work        [2]time.Duration
	Soft, Limit time.Duration
	Bound       time.Duration
	Window      time.Duration
	Utility     float64
	Late        float64
	Share       float64 // of the RPCs
}

// Trouble is something that happens to some of the hosts, or to what goes between them.
type Trouble struct {
	Kind   string
	At     time.Duration
	Lasts  time.Duration
	On     []int // which members or drivers
	Times  float64
	Within time.Duration // drivers that were ended start again within this, one after the other
	Folder string        // how they find what they have kept: kept, emptied, older, flipped or stalled

	From, To   []string   // places between which a link is troubled
	OneWay     bool       // only from the first to the second
	Islands    [][]string // of a partition: who is on one reaches nobody that is on others only
	Every      time.Duration
	By, Jitter time.Duration
	Rate       int
}

// Script is what is rehearsed.
type Script struct {
	Name            string
	Lasts           time.Duration
	Drivers         int
	Groups, Members int // members of each group
	Zones           int // over which drivers and each group's members are spread
	Build           emu.Build
	Election        emu.Election
	ListDelay       time.Duration
	Peers           bool          // drivers may talk with each other
	Operator        string        // the operator's own file of every driver, "": none
	Folders         bool          // drivers keep what they learn
	SaveEvery       time.Duration // and write it so often
	KnownFirst      bool          // drivers are always started with the list of the play's beginning
	Controls        int           // control machines that all drivers ask, 0: none
	Publications    []Publication // what is published on them
	Twins           []int         // drivers that are started under the name of the one before them
	Older           []int         // drivers that an older program is started for, where drivers are processes
	Leases          *Leases       // nil: none
	ViewConnections int           // that one member takes from all drivers, of which each takes its part; 0: not told
	View            time.Duration // between two questions of the drivers' views of their fleet; 0: they keep none
	Methods         []*Method
	Rate            float64 // RPCs a second
	Surges          []Surge
	Sessions        int
	Retries         int
	Obeys           bool          // clients come back when they were told
	Route           string        // how clients pick their driver: fixed, stay or spread
	Notice          time.Duration // until who deals clients out notices that a driver is dead
	Grace           time.Duration
	Troubles        []Trouble
	LeastOK         float64       // expected part of the RPCs that are ok
	spared          time.Duration // when drivers would be back that do not end
}

// Surge is a time of another rate.
type Surge struct {
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

// kind is what a trouble is about, and which entries it has beside at and lasts.
type kind struct {
	about, has string
}

var kinds = map[string]kind{
	"pause": {"member", "part"}, "kill": {"member", "part"}, "drain": {"member", ""},
	"slow": {"member", "times"}, "theft": {"member", "times"}, "lag": {"member", "times"},
	"driver_kill": {"driver", "within part folder times every"}, "driver_stop": {"driver", "within part folder"}, "driver_pause": {"driver", "part"},
	"control_kill": {"control", "folder"}, "control_pause": {"control", ""},
	"voters":    {"driver", ""}, // who votes from then on: for as long as it lasts together with those before
	"discovery": {"agent", ""}, "discovery_old": {"none", ""},
	"cut": {"link", "every one_way"}, "refuse": {"link", "every"}, "reset": {"link", ""},
	"loss": {"link", "times every one_way"}, "delay": {"link", "by jitter every one_way"},
	"double": {"link", "times by every one_way"}, "reorder": {"link", "times by every one_way"},
	"thin": {"link", "rate every one_way"}, "partition": {"link", "islands every"},
}

// text is the script as HCL has it.
type text struct {
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

// ReadScript reads and checks a script; all that is wrong with it is told at once, a line each.
func ReadScript(name string) (*Script, error) { return ReadScaled(name, 1) }

// ReadScaled is ReadScript with so many times the drivers, groups, sessions and RPCs.
func ReadScaled(name string, times int) (*Script, error) {
	in, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return parse(in, name, times)
}

// mistakes collects what is wrong.
type mistakes struct{ lines []string }

func (m *mistakes) say(format string, args ...any) {
	m.lines = append(m.lines, fmt.Sprintf(format, args...))
}

// ParseScript is ReadScript of a text.
func ParseScript(in []byte, name string) (*Script, error) { return parse(in, name, 1) }

func parse(in []byte, name string, times int) (*Script, error) {
	wrong := new(mistakes)
	all, diagnostics := body(in, name, 0)
	var t text
	if !diagnostics.HasErrors() {
		diagnostics = append(diagnostics, gohcl.DecodeBody(all, nil, &t)...)
	}
	for _, d := range diagnostics {
		at := hcl.Range{Filename: name}
		if d.Subject != nil {
			at = *d.Subject
		}
		wrong.say("%s:%d:%d: %s: %s", at.Filename, at.Start.Line, at.Start.Column, d.Summary, d.Detail)
	}
	if diagnostics.HasErrors() {
		return nil, fmt.Errorf("%s", strings.Join(wrong.lines, "\n"))
	}
	if t.Fleet.Groups == 0 {
		t.Fleet.Groups = 1
	}
	t.Fleet.Drivers, t.Fleet.Groups = t.Fleet.Drivers*times, t.Fleet.Groups*times
	t.Load.Rate, t.Load.Sessions = t.Load.Rate*float64(times), t.Load.Sessions*times
	lines := places(all)
	s := t.script(name, func(path, format string, args ...any) {
		at := lines[path]
		if at == "" {
			at = name + ":0"
		}
		wrong.say("%s: %s: %s", at, path, fmt.Sprintf(format, args...))
	})
	if len(wrong.lines) > 0 {
		sort.Strings(wrong.lines)
		return nil, fmt.Errorf("%s", strings.Join(wrong.lines, "\n"))
	}
	s.Name = name
	return s, nil
}

// places tells the file and line of each attribute by its path.
func places(body *hclsyntax.Body) map[string]string {
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

// mostGroups is what 2,200 members in groups of two need.
const mostGroups = 1100

func (t *text) script(name string, wrong func(path, format string, args ...any)) *Script {
	span := func(path, value string, otherwise time.Duration) time.Duration {
		if value == "" {
			return otherwise
		}
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 || d > 24*time.Hour {
			wrong(path, "%q is no time up to 24h", value)
		}
		return d
	}
	between := func(path, value string, low, high time.Duration) [2]time.Duration {
		if value == "" {
			return [2]time.Duration{low, high}
		}
		from, to, ranged := strings.Cut(value, "..")
		if !ranged {
			to = from
		}
		b := [2]time.Duration{span(path, from, 0), span(path, to, 0)}
		if b[1] < b[0] {
			wrong(path, "%q ends before it begins", value)
		}
		return b
	}
	count := func(path string, n, otherwise, most int) int {
		if n == 0 {
			return otherwise
		}
		if n < 1 || n > most {
			wrong(path, "%d is not from 1 to %d", n, most)
		}
		return n
	}
	f := &t.Fleet
	s := &Script{
		Lasts: span("lasts", t.Lasts, 0), Drivers: count("fleet drivers", f.Drivers, 1, 500), Groups: count("fleet groups", f.Groups, 1, mostGroups),
		Members: count("fleet members", f.Members, 1, 50), Zones: count("fleet zones", f.Zones, 1, 26), ListDelay: span("fleet list_delay", f.ListDelay, time.Second), Grace: 250 * time.Millisecond,
		Build: emu.Build{Cores: count("fleet cores", f.Cores, 4, 256), Queue: count("fleet queue", f.Queue, 64, 10000), Cold: 0.25,
			Warm: span("fleet warm", f.Warm, 16*time.Second), Multiple: 4, Tips: time.Second, Patience: 50 * time.Millisecond,
			Handshake: span("fleet handshake", f.Handshake, 0), Connections: f.Conns,
			Delay: 5 * time.Millisecond, Apply: span("fleet apply", f.Apply, time.Millisecond), Window: 1200 * time.Millisecond},
		Election: emu.Election{Notice: between("fleet notice", f.Notice, time.Second, 2*time.Second),
			Takeover: between("fleet takeover", f.Takeover, time.Second, 3*time.Second),
			HandOver: [2]time.Duration{300 * time.Millisecond, 900 * time.Millisecond}, Contest: 300 * time.Millisecond},
		Rate: t.Load.Rate, Sessions: count("load sessions", t.Load.Sessions, 200, 1<<20), Retries: t.Load.Retries,
		Obeys: t.Load.Obeys == nil || *t.Load.Obeys, Route: t.Load.Route, Notice: span("load notice", t.Load.Notice, time.Second),
	}
	if s.Route == "" {
		s.Route = "fixed"
	}
	if !strings.Contains(" fixed stay spread ", " "+s.Route+" ") {
		wrong("load route", "%q is none of fixed, stay and spread", s.Route)
	}
	if s.KnownFirst = f.Known == "first"; f.Known != "" && f.Known != "first" && f.Known != "latest" {
		wrong("fleet known", "%q is neither first nor latest", f.Known)
	}
	s.Folders, s.SaveEvery = f.Folders, span("fleet save_every", f.SaveEvery, 500*time.Millisecond)
	s.Twins = f.Twins
	for _, n := range f.Twins {
		if n < 1 || n >= s.Drivers {
			wrong("fleet twins", "there is no driver %d with one before it", n)
		}
	}
	if s.Peers, s.Older = f.Peers, f.Older; f.Operator != "" {
		s.Operator = filepath.Join(filepath.Dir(name), f.Operator)
	}
	if t.View != nil {
		s.ViewConnections = t.View.Connections
		if s.View = span("view every", t.View.Every, time.Second); !s.Peers {
			wrong("view", "drivers do not talk: the fleet has no peers = true")
		}
	}
	if t.Leases != nil {
		s.Leases = t.Leases.read(s, span, wrong)
	}
	t.controls(s, span, wrong)
	for _, n := range f.Older {
		if n < 0 || n >= s.Drivers {
			wrong("fleet older", "there is no driver %d", n)
		}
	}
	if f.Conns < 0 {
		wrong("fleet connections", "%d is under 0", f.Conns)
	}
	if s.Lasts < time.Second {
		wrong("lasts", "%v is under a second", s.Lasts)
	}
	if s.Rate <= 0 || s.Rate > 1e5 {
		wrong("load rate", "%v is not over 0 and up to 100000", s.Rate)
	}
	if s.Retries < 0 || s.Retries > 10 {
		wrong("load retries", "%d is not from 0 to 10", s.Retries)
	}
	for _, m := range t.Load.Methods {
		at := "load method " + m.Name + " "
		effect, known := map[string]emu.Effect{"": emu.Idempotent, "idempotent": emu.Idempotent, "tokened": emu.Tokened, "non-idempotent": emu.NonIdempotent}[m.Effect]
		if !known {
			wrong(at+"effect", "%q is none of idempotent, tokened and non-idempotent", m.Effect)
		}
		if !strings.Contains(" any bounded session fresh write ", " "+m.Need+" ") {
			wrong(at+"need", "%q is none of any, bounded, session, fresh and write", m.Need)
		}
		if s.method(m.Name) != nil {
			wrong("load method "+m.Name, "there are two of this name")
		}
		if m.Share <= 0 {
			wrong(at+"share", "%v is not over 0", m.Share)
		}
		if m.Utility == 0 {
			m.Utility = 1
		}
		s.Methods = append(s.Methods, &Method{Name: m.Name, Need: m.Need, Effect: effect, Work: between(at+"work", m.Work, 0, 0),
			Soft: span(at+"soft", m.Soft, 0), Limit: span(at+"limit", m.Limit, 0), Bound: span(at+"bound", m.Bound, 0),
			Window: span(at+"window", m.Window, 0), Utility: m.Utility, Late: m.Late, Share: m.Share})
	}
	if len(s.Methods) == 0 {
		wrong("load", "there is no method")
	}
	for i, g := range t.Load.Surges {
		at := fmt.Sprintf("load surge %d ", i+1)
		surge := Surge{span(at+"from", g.From, 0), span(at+"to", g.To, 0), g.Times}
		if surge.To <= surge.From || g.Times <= 0 || g.Times > 100 {
			wrong(strings.TrimSpace(at), "%v to %v, %v times", surge.From, surge.To, g.Times)
		}
		s.Surges = append(s.Surges, surge)
	}
	for i, x := range t.Troubles {
		r := t.trouble(s, i, span, wrong)
		s.Troubles = append(s.Troubles, r)
		if about := kinds[r.Kind].about; about != "driver" || x.Times == 0 {
			continue
		}
		if r.Every <= r.Lasts || x.Times != float64(int(x.Times)) || x.Times < 1 || r.At+time.Duration(x.Times)*r.Every > s.Lasts {
			wrong(fmt.Sprintf("trouble %d", i+1), "%v times every %v, each for %v, is no whole number, overlaps itself or ends after the script", x.Times, r.Every, r.Lasts)
			continue
		}
		for n := 1; n < int(x.Times); n++ {
			again := r
			again.At += time.Duration(n) * r.Every
			s.Troubles = append(s.Troubles, again)
		}
	}
	for _, e := range t.Expect {
		s.LeastOK = e.OK
	}
	return s
}

// leastEvery is how quickly a trouble comes and goes at most: each time all links are looked at.
const leastEvery = 10 * time.Millisecond

// trouble reads one of the troubles. What its kind has no use for is a mistake, as is what it lacks.
func (t *text) trouble(s *Script, i int, span func(path, value string, otherwise time.Duration) time.Duration,
	wrong func(path, format string, args ...any)) Trouble {
	x, at := t.Troubles[i], fmt.Sprintf("trouble %d", i+1)
	r := Trouble{Kind: x.Kind, At: span(at+" at", x.At, 0), Lasts: span(at+" lasts", x.Lasts, time.Second), On: x.On, Times: x.Times,
		Within: span(at+" within", x.Within, 0), OneWay: x.OneWay, Every: span(at+" every", x.Every, 0),
		By: span(at+" by", x.By, 0), Jitter: span(at+" jitter", x.Jitter, 0), Rate: x.Rate}
	k, known := kinds[x.Kind]
	if !known {
		wrong(at, "there is no trouble %q", x.Kind)
		return r
	}
	if r.At > s.Lasts {
		wrong(at+" at", "%v is after the end", r.At)
	}
	if r.Every != 0 && r.Every < leastEvery {
		wrong(at+" every", "%v is under %v", r.Every, leastEvery)
	}
	has := func(name string) bool { return slices.Contains(strings.Fields(k.has), name) }
	for name, given := range map[string]bool{"times": x.Times != 0, "within": x.Within != "", "one_way": x.OneWay, "islands": x.Islands != nil,
		"part": x.Part != 0, "folder": x.Folder != "", "every": x.Every != "", "by": x.By != "", "jitter": x.Jitter != "", "rate": x.Rate != 0} {
		if given && !has(name) {
			wrong(at+" "+name, "%s has no use for it", x.Kind)
		}
	}
	for name, missing := range map[string]bool{"rate": x.Rate <= 0, "islands": len(x.Islands) < 2} {
		if missing && has(name) {
			wrong(at, "%s is missing or too small", name)
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
	most := map[string]int{"member": s.Members * s.Groups, "driver": s.Drivers, "link": s.Drivers, "agent": s.Drivers, "control": s.Controls}[k.about]
	for _, n := range x.On {
		if n < 0 || n >= most {
			what := k.about
			if what == "link" || what == "agent" {
				what = "driver"
			}
			wrong(at+" on", "there is no %s %d", what, n)
		}
	}
	if k.about == "none" && len(x.On) > 0 {
		wrong(at+" on", "%s has no use for it", x.Kind)
	}
	if r.Folder = x.Folder; r.Folder != "" && !slices.Contains([]string{keptFolder, emptiedFolder, olderFolder, flippedFolder, stalledFolder}, r.Folder) {
		wrong(at+" folder", "%q is none of kept, emptied, older, flipped and stalled", r.Folder)
	}
	if x.Part < 0 || x.Part > 1 || x.Part > 0 && len(x.On) > 0 {
		wrong(at+" part", "%v is not from 0 to 1, or on is given too", x.Part)
	}
	for n := range int(x.Part*float64(most) + 0.999) {
		r.On = append(r.On, n)
	}
	if x.Kind == "voters" && s.Leases == nil {
		wrong(at, "the script has no leases")
	}
	if len(r.On) == 0 && (k.about == "member" || k.about == "driver" || k.about == "control") {
		wrong(at, "on is missing")
	}
	if k.about == "control" && r.Folder != "" && r.Folder != keptFolder && r.Folder != emptiedFolder {
		wrong(at+" folder", "%q is neither kept nor emptied", r.Folder)
	}
	if k.about != "link" && (x.From != nil || x.To != nil) {
		wrong(at, "%s has no use for from and to", x.Kind)
	}
	if k.about == "link" && x.Kind != "partition" {
		r.ends(s, at, x.From, x.To, wrong)
	}
	for _, island := range x.Islands {
		var on []string
		for _, name := range island {
			names, err := s.places(name)
			if err != nil {
				wrong(at+" islands", "%v", err)
			}
			on = append(on, names...)
		}
		r.Islands = append(r.Islands, on)
	}
	return r
}

// ends reads between what a link is troubled: from and to, or the drivers that on names and all members.
func (t *Trouble) ends(s *Script, at string, from, to []string, wrong func(path, format string, args ...any)) {
	if len(from) == 0 && len(to) == 0 {
		for _, n := range t.On {
			t.From = append(t.From, Driver(n))
		}
		t.To, _ = s.places("members")
		if len(t.On) == 0 {
			wrong(at, "on is missing, or from and to")
		}
		return
	}
	if len(t.On) > 0 || len(from) == 0 || len(to) == 0 {
		wrong(at, "it wants either on, or from and to")
	}
	for name, texts := range map[string][]string{"from": from, "to": to} {
		for _, text := range texts {
			names, err := s.places(text)
			if err != nil {
				wrong(at+" "+name, "%v", err)
			}
			if name == "from" {
				t.From = append(t.From, names...)
			} else {
				t.To = append(t.To, names...)
			}
		}
	}
}
