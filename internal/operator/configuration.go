package operator

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
	Folder   string // where the version in force is kept, "": nowhere
}

// fleetAndFolder reads what drivers and control machines are told alike.
func (r *reader) fleetAndFolder(c *hcl.BodyContent, needed bool) (fleet, folder string) {
	fleet, at := r.words(c, "fleet", "")
	if !hostNames.MatchString(fleet) {
		r.wrong(at, "fleet is no name of letters, digits, dots and dashes (%q)", fleet)
	}
	if folder, at = r.words(c, "folder", ""); (folder != "" || needed) && !filepath.IsAbs(folder) {
		r.wrong(at, "folder is no path from the root (%q)", folder)
	}
	return fleet, folder
}

// address reads one with a port.
func (r *reader) address(c *hcl.BodyContent, name string) (address netip.AddrPort, at hcl.Range) {
	text, at := r.words(c, name, "")
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.wrong(at, "%s is no address with a port (%q)", name, text)
	}
	return address, at
}

func (r *reader) configuration(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "machines", "folder"})
	if c == nil {
		return
	}
	w := &Configuration{}
	w.Fleet, w.Folder = r.fleetAndFolder(c, false)
	a := c.Attributes["machines"]
	if a == nil {
		r.wrong(c.MissingItemRange, "machines is missing")
		return
	}
	items, diagnostics := hcl.ExprList(a.Expr)
	r.take(diagnostics)
	for _, item := range items {
		v, _ := item.Value(nil)
		address, err := netip.AddrPort{}, error(nil)
		if v.IsKnown() && !v.IsNull() && v.Type().Equals(cty.String) {
			address, err = netip.ParseAddrPort(v.AsString())
		}
		if err != nil || !address.IsValid() || slices.Contains(w.Machines, address) {
			r.wrong(item.Range(), "a machine that is no address with a port, or is named twice (%s)", item.Range().SliceBytes(r.text))
			continue
		}
		w.Machines = append(w.Machines, address)
	}
	if n := len(items); n != 3 && n != 5 {
		r.wrong(a.Expr.Range(), "machines names %d; three or five are wanted", n)
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
	if f.Machine == nil {
		return nil, fmt.Errorf("%s: it has no block control_machine", name)
	}
	return f.Machine, nil
}

// machine reads what a control machine is told of itself and of the others.
func (r *reader) machine(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "listen", "folder"}, hcl.BlockHeaderSchema{Type: "peer", LabelNames: []string{"name"}})
	if c == nil {
		return
	}
	p := &server.MachineConfig{Name: b.Labels[0]}
	if !hostNames.MatchString(p.Name) {
		r.wrong(b.LabelRanges[0], "a machine's name of other than letters, digits, dots and dashes (%q)", p.Name)
	}
	p.Fleet, p.DataDir = r.fleetAndFolder(c, true)
	var at hcl.Range
	if p.Listen, at = r.address(c, "listen"); p.Listen.IsValid() {
		r.taken(p.Listen, at, "the control machine")
	}
	names := []string{p.Name}
	for _, b := range c.Blocks {
		in := r.content(b.Body, []string{"at"})
		if in == nil {
			continue
		}
		if slices.Contains(names, b.Labels[0]) || !hostNames.MatchString(b.Labels[0]) {
			r.wrong(b.LabelRanges[0], "a peer's name that is given twice or cannot be (%q)", b.Labels[0])
		}
		names = append(names, b.Labels[0])
		address, _ := r.address(in, "at")
		p.Peers = append(p.Peers, server.Peer{Name: b.Labels[0], Address: address})
	}
	if n := len(p.Peers); n != 2 && n != 4 {
		r.wrong(b.DefRange, "%d blocks peer; two or four are wanted", n)
	}
	f.Machine = p
}
