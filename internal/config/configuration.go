package config

import (
	"net/netip"
	"slices"

	"github.com/hashicorp/hcl/v2"
)

// Configuration specifies where a driver polls for the configuration that is published for its fleet.
type Configuration struct {
	Fleet    string
	Machines []netip.AddrPort // addresses of the control machines
	DataDir  string           // directory in which the version in force is persisted; "": not persisted
}

// configuration reads the block that lists the control machines a driver polls.
func (r *reader) configuration(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "machines", "folder"})
	if c == nil {
		return
	}
	cfg := &Configuration{}
	cfg.Fleet, _ = r.fleet(c)
	cfg.DataDir = r.dataDir(c, false)
	a := c.Attributes["machines"]
	if a == nil {
		r.addError(c.MissingItemRange, "machines is missing")
		return
	}
	items, _ := r.items(a)
	for _, item := range items {
		address, err := netip.ParseAddrPort(textItem(item))
		if err != nil || slices.Contains(cfg.Machines, address) {
			r.addError(item.Range(), "machines must be distinct IP addresses with a port, got %s", item.Range().SliceBytes(r.text))
			continue
		}
		cfg.Machines = append(cfg.Machines, address)
	}
	if n := len(items); n != 3 && n != 5 {
		r.addError(a.Expr.Range(), "machines must list three or five addresses, got %d", n)
	}
	f.Configuration = cfg
}
