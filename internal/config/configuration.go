package config

import (
	"net/netip"
	"slices"

	"github.com/hashicorp/hcl/v2"
)

// Configuration is where a driver polls for the configuration that is published for its fleet.
type Configuration struct {
	Fleet    string
	Machines []netip.AddrPort // control machines
	DataDir  string           // where the version in force is persisted; "": nowhere
}

// configuration reads which control machines a driver polls.
func (r *reader) configuration(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "machines", "folder"})
	if c == nil {
		return
	}
	w := &Configuration{}
	w.Fleet, _ = r.fleet(c)
	w.DataDir = r.dataDir(c, false)
	a := c.Attributes["machines"]
	if a == nil {
		r.addError(c.MissingItemRange, "machines is missing")
		return
	}
	items, _ := r.items(a)
	for _, item := range items {
		address, err := netip.ParseAddrPort(textItem(item))
		if err != nil || slices.Contains(w.Machines, address) {
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
