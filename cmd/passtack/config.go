package main

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"passtack/internal/config"
	"passtack/internal/loop"
	"passtack/internal/rollout"
	"passtack/internal/rollout/server"
)

// controlMachine runs one of the machines that keep what is published for a fleet.
type controlMachine struct {
	Operator string `help:"The operator's file with a block control_machine (HCL)." type:"existingfile" required:"" placeholder:"FILE"`
}

const (
	machineSockets = 4096
	machineBuffers = 256 << 20
)

func (c *controlMachine) Run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP)
	wants, err := config.ReadMachine(c.Operator)
	if err != nil {
		return err
	}
	l, err := loop.New(machineSockets, machineBuffers)
	if err != nil {
		return err
	}
	defer l.Close()
	folder, kept, err := server.OpenFileStorage(wants.DataDir, wants.Name, l.Ring)
	if err != nil {
		return err
	}
	defer folder.Close()
	s, err := server.New(l, *wants, folder, kept, someNumber())
	if err != nil {
		return err
	}
	ends := make(chan bool, 1)
	go func() {
		<-signals
		ends <- true
		l.Ring()
	}()
	s.LogStarted()
	return l.Run(func() {
		folder.HandleResults()
		select {
		case <-ends:
			s.Shutdown()
			l.At(l.Now()+200*time.Millisecond, l.Stop) // what it said last is to go out
		default:
		}
	})
}

func someNumber() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// machines are asked over HTTP.
type machines struct {
	At []string `help:"Addresses of the control machines." required:"" sep:"," placeholder:"ADDRESS,..."`
}

// A machine that stands still holds up nobody for long: another has the answer.
var web = &http.Client{Timeout: 1500 * time.Millisecond}

// ask sends a request to one machine and gives the answer's status, fields and body.
func ask(verb, at, path string, fields map[string]string, body []byte) (int, http.Header, []byte, error) {
	r, err := http.NewRequest(verb, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, value := range fields {
		r.Header.Set(name, value)
	}
	a, err := web.Do(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(io.LimitReader(a.Body, 64<<20))
	return a.StatusCode, a.Header, text, err
}

// answer is what one machine has answered.
type answer struct {
	at     string
	fields http.Header
	body   []byte
	err    error
}

// all asks all machines at once, and gives what they say in their order.
func (m machines) all(path string) []answer {
	answers := make([]answer, len(m.At))
	var waits sync.WaitGroup
	for i, at := range m.At {
		waits.Go(func() {
			_, fields, body, err := ask("GET", at, path, nil, nil)
			answers[i] = answer{at, fields, body, err}
		})
	}
	waits.Wait()
	return answers
}

// newest gives the newest text that counts.
func (m machines) newest() (version uint64, text []byte, err error) {
	heard := 0
	for _, a := range m.all("/configuration") {
		if a.err != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", a.at, a.err))
			continue
		}
		heard++
		if v, _ := strconv.ParseUint(a.fields.Get(server.VersionField), 10, 64); v > version {
			version, text = v, a.body
		}
	}
	if 2*heard <= len(m.At) {
		return 0, nil, fmt.Errorf("%d of %d control machines answer, which is no majority:\n%w", heard, len(m.At), err)
	}
	return version, text, nil
}

// configPublish makes a text the next version.
type configPublish struct {
	machines
	File string        `arg:"" help:"The configuration (JSON)." type:"existingfile"`
	From uint64        `help:"The version that the text was made from, where another must not have come meanwhile. 0: the one in force now."`
	Wait time.Duration `help:"For which the drivers are waited for." default:"4s"`
}

func (c *configPublish) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	from := c.From
	if from == 0 {
		if from, _, err = c.newest(); err != nil {
			return err
		}
	}
	version, err := c.publish(text, from)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	fmt.Printf("version %d\n", version)
	var all fleetStanding
	for end := time.Now().Add(c.Wait); ; time.Sleep(200 * time.Millisecond) {
		if all, err = c.standing(); err != nil {
			return err
		}
		if in, _, refused := all.count(version); in+refused == len(all.drivers) || time.Now().After(end) {
			break
		}
	}
	return all.print(version)
}

const (
	publishing = 10 * time.Second // for which it is tried
	between    = 200 * time.Millisecond
)

// publish goes from machine to machine until one says that a majority has it, or that it cannot be. All tries have one number, so that it is
// published once at the most.
func (m machines) publish(text []byte, from uint64) (version uint64, err error) {
	fields := map[string]string{server.VersionField: strconv.FormatUint(from, 10), server.PublicationField: strconv.FormatUint(someNumber(), 16)}
	unsure := false
	for end, i := time.Now().Add(publishing), 0; time.Now().Before(end); i++ {
		at := m.At[i%len(m.At)]
		status, _, body, wrong := ask("POST", at, "/publish", fields, text)
		var told server.PublishResult
		if wrong == nil {
			json.Unmarshal(body, &told)
		}
		switch {
		case wrong != nil:
			var op *net.OpError
			reached := !errors.As(wrong, &op) || op.Op != "dial"
			err, unsure = fmt.Errorf("%s: %w", at, wrong), unsure || reached
		case status == 200:
			return told.Version, nil
		case told.Outcome == rollout.Outdated:
			return 0, fmt.Errorf("version %d is in force, and the text was made from %d: make it anew from that", told.Version, from)
		case told.Error != "":
			return 0, errors.New(told.Error)
		default:
			unsure = unsure || told.Outcome == rollout.Unknown
			err = fmt.Errorf("%s: %s", at, told.Outcome)
		}
		time.Sleep(between)
	}
	if unsure {
		return 0, fmt.Errorf("no machine said that a majority has it, yet it may be published; see config status: %w", err)
	}
	return 0, fmt.Errorf("nothing is published, as no machine writes: a majority of them is down or cut off: %w", err)
}

// fleetStanding is what all machines know of drivers together.
type fleetStanding struct {
	machines []server.Status
	silent   []string
	drivers  map[string]server.DriverStatus
}

// standing asks all machines. Of a driver that several know the latest word counts.
func (m machines) standing() (fleetStanding, error) {
	f := fleetStanding{drivers: make(map[string]server.DriverStatus)}
	for _, a := range m.all("/status") {
		var s server.Status
		err := a.err
		if err == nil {
			err = json.Unmarshal(a.body, &s)
		}
		if err != nil {
			f.silent = append(f.silent, fmt.Sprintf("%s: %v", a.at, err))
			continue
		}
		f.machines = append(f.machines, s)
		for _, d := range s.Drivers {
			if o, known := f.drivers[d.Name]; !known || d.LastSeenMS < o.LastSeenMS {
				f.drivers[d.Name] = d
			}
		}
	}
	if len(f.machines) == 0 {
		return f, errors.New(strings.Join(f.silent, "\n"))
	}
	return f, nil
}

// version is the newest that counts.
func (f fleetStanding) version() (newest uint64) {
	for _, s := range f.machines {
		newest = max(newest, s.Version)
	}
	return newest
}

// count tells how many drivers have a version or a newer one in force, how many lag, and how many refuse it.
func (f fleetStanding) count(version uint64) (in, lag, refused int) {
	for _, d := range f.drivers {
		switch {
		case d.Version >= version:
			in++
		case d.RejectedVersion >= version:
			refused++
		default:
			lag++
		}
	}
	return in, lag, refused
}

func (f fleetStanding) print(version uint64) error {
	in, lag, refused := f.count(version)
	fmt.Printf("version %d is in force at %d of %d drivers; %d lag, %d refuse it\n", version, in, len(f.drivers), lag, refused)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if in < len(f.drivers) {
		fmt.Fprintln(w, "\ndriver\tin force\tsince\theard\twhy not")
	}
	for _, name := range slices.Sorted(maps.Keys(f.drivers)) {
		d := f.drivers[name]
		if d.Version >= version {
			continue
		}
		why := "lags"
		if d.RejectedVersion >= version {
			why = fmt.Sprintf("refuses %d: %s", d.RejectedVersion, d.RejectReason)
		}
		fmt.Fprintf(w, "%s\t%d\t%.1fs ago\t%.1fs ago\t%s\n", name, d.Version, float64(d.VersionAgeMS)/1000, float64(d.LastSeenMS)/1000, why)
	}
	for _, name := range slices.Sorted(maps.Keys(f.drivers)) {
		if d := f.drivers[name]; len(d.NeedsRestart) > 0 {
			fmt.Fprintf(w, "%s\t%d\t\t\tneeds a restart for %s\n", name, d.Version, strings.Join(d.NeedsRestart, ", "))
		}
	}
	fmt.Fprintln(w, "\nmachine\tversion\tvotes\tsure\twho writes")
	for _, s := range f.machines {
		writer := s.Writer
		if writer == "" {
			writer = "unknown"
		}
		fmt.Fprintf(w, "%s\t%d\t%v\t%v\t%s\n", s.Machine, s.Version, s.Votes, s.Fresh, writer)
	}
	for _, s := range f.silent {
		fmt.Fprintln(w, s)
	}
	return w.Flush()
}

// configStatus tells where the newest version is in force.
type configStatus struct {
	machines
	JSON bool `help:"As JSON."`
}

func (c *configStatus) Run() error {
	f, err := c.standing()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(map[string]any{"version": f.version(), "machines": f.machines, "silent": f.silent, "drivers": f.drivers})
	}
	return f.print(f.version())
}

// configShow prints the text in force.
type configShow struct{ machines }

func (c *configShow) Run() error {
	version, text, err := c.newest()
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "version %d\n", version)
	_, err = os.Stdout.Write(append(text, '\n'))
	return err
}
