package config

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"passtack/internal/rollout/server"
)

// Configuration is where a driver asks for what is published for its fleet.
type Configuration struct {
	Fleet    string
	Machines []netip.AddrPort
	DataDir  string // where the version in force is kept, "": nowhere
}

// fleetAndFolder reads what drivers and control machines are told alike.
func (r *reader) fleetAndDataDir(c *hcl.BodyContent, needed bool) (fleet, folder string) {
	fleet, at := r.textOf(c, "fleet", "")
	if !namePattern.MatchString(fleet) {
		r.addError(at, "fleet is no name of letters, digits, dots and dashes (%q)", fleet)
	}
	if folder, at = r.textOf(c, "folder", ""); (folder != "" || needed) && !filepath.IsAbs(folder) {
		r.addError(at, "folder is no path from the root (%q)", folder)
	}
	return fleet, folder
}

// address reads one with a port.
func (r *reader) addressOf(c *hcl.BodyContent, name string) (address netip.AddrPort, at hcl.Range) {
	text, at := r.textOf(c, name, "")
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.addError(at, "%s is no address with a port (%q)", name, text)
	}
	return address, at
}

func (r *reader) configuration(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "machines", "folder"})
	if c == nil {
		return
	}
	w := &Configuration{}
	w.Fleet, w.DataDir = r.fleetAndDataDir(c, false)
	a := c.Attributes["machines"]
	if a == nil {
		r.addError(c.MissingItemRange, "machines is missing")
		return
	}
	items, diagnostics := hcl.ExprList(a.Expr)
	r.addDiagnostics(diagnostics)
	for _, item := range items {
		v, _ := item.Value(nil)
		address, err := netip.AddrPort{}, error(nil)
		if v.IsKnown() && !v.IsNull() && v.Type().Equals(cty.String) {
			address, err = netip.ParseAddrPort(v.AsString())
		}
		if err != nil || !address.IsValid() || slices.Contains(w.Machines, address) {
			r.addError(item.Range(), "a machine that is no address with a port, or is named twice (%s)", item.Range().SliceBytes(r.text))
			continue
		}
		w.Machines = append(w.Machines, address)
	}
	if n := len(items); n != 3 && n != 5 {
		r.addError(a.Expr.Range(), "machines names %d; three or five are wanted", n)
	}
	f.Configuration = w
}

// ReadMachine reads a file for the control machine that it names.
func ReadMachine(name string) (*server.MachineConfig, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	f, err := Parse(text, name, netip.AddrPort{}, nil)
	if err != nil {
		return nil, err
	}
	if f.ControlMachine == nil {
		return nil, fmt.Errorf("%s: it has no block control_machine", name)
	}
	return f.ControlMachine, nil
}

// machine reads what a control machine is told of itself and of the others.
func (r *reader) controlMachine(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "listen", "folder"}, hcl.BlockHeaderSchema{Type: "peer", LabelNames: []string{"name"}})
	if c == nil {
		return
	}
	p := &server.MachineConfig{Name: b.Labels[0]}
	if !namePattern.MatchString(p.Name) {
		r.addError(b.LabelRanges[0], "a machine's name of other than letters, digits, dots and dashes (%q)", p.Name)
	}
	p.Fleet, p.DataDir = r.fleetAndDataDir(c, true)
	var at hcl.Range
	if p.Listen, at = r.addressOf(c, "listen"); p.Listen.IsValid() {
		r.reserveAddress(p.Listen, at, "the control machine")
	}
	names := []string{p.Name}
	for _, b := range c.Blocks {
		in := r.content(b.Body, []string{"at"})
		if in == nil {
			continue
		}
		if slices.Contains(names, b.Labels[0]) || !namePattern.MatchString(b.Labels[0]) {
			r.addError(b.LabelRanges[0], "a peer's name that is given twice or cannot be (%q)", b.Labels[0])
		}
		names = append(names, b.Labels[0])
		address, _ := r.addressOf(in, "at")
		p.Peers = append(p.Peers, server.Peer{Name: b.Labels[0], Address: address})
	}
	if n := len(p.Peers); n != 2 && n != 4 {
		r.addError(b.DefRange, "%d blocks peer; two or four are wanted", n)
	}
	f.ControlMachine = p
}
