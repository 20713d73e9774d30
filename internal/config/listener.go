package config

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"passtack/internal/quota"
)

// Listener is one listener for clients.
type Listener struct {
	Protocol, Name string
	Listen         netip.AddrPort // invalid for the platform's own
	Quota          quota.Config
	OData          *OData // nil for other protocols
}

// listeners reads all listeners and puts the platform's first. Without a block for it, it has the default.
func (r *reader) listeners(f *File, blocks hcl.Blocks) {
	names := make(map[string]bool)
	hasPlatform := false
	for _, b := range blocks {
		l := r.listener(f, b)
		if l == nil {
			continue
		}
		if names[l.Name] {
			r.addError(b.LabelRanges[1], "two fronts have this name (%q)", l.Name)
		}
		names[l.Name] = true
		if !l.Listen.IsValid() {
			if hasPlatform {
				r.addError(b.DefRange, "a second front without listen (%q): only the platform's own has none", l.Name)
			}
			hasPlatform = true
		}
		f.Listeners = append(f.Listeners, l)
	}
	if !hasPlatform {
		f.Listeners = append([]*Listener{platformListener()}, f.Listeners...)
	}
	isPlatform := func(l *Listener) bool { return !l.Listen.IsValid() }
	slices.SortStableFunc(f.Listeners, func(a, b *Listener) int {
		switch {
		case isPlatform(a) == isPlatform(b):
			return 0
		case isPlatform(a):
			return -1
		}
		return 1
	})
}

func (r *reader) listener(f *File, b *hcl.Block) *Listener {
	l := &Listener{Protocol: b.Labels[0], Name: b.Labels[1]}
	attributes, blocks := []string{"listen", "weight"}, []hcl.BlockHeaderSchema{{Type: "limits"}}
	switch l.Protocol {
	case "pg":
	case "odata":
		attributes = append(attributes, "root", "namespace")
		blocks = append(blocks, hcl.BlockHeaderSchema{Type: "set", LabelNames: []string{"name"}}, hcl.BlockHeaderSchema{Type: "repeats"})
	default:
		r.addError(b.LabelRanges[0], "fronts speak pg or odata (%q)", l.Protocol)
		return nil
	}
	c := r.content(b.Body, attributes, blocks...)
	if c == nil {
		return nil
	}
	r.listenAddress(l, c)
	l.Quota.Weight = r.numberOf(c, "weight", 1, 0.01, 1000)
	if l.Protocol == "odata" {
		if !l.Listen.IsValid() && c.Attributes["listen"] == nil {
			r.addError(b.DefRange, "listen is missing (%q)", l.Name)
		}
		l.OData = r.odata(f, c, b)
	}
	r.limits(l, c)
	return l
}

func (r *reader) listenAddress(l *Listener, c *hcl.BodyContent) {
	text, at := r.textOf(c, "listen", "")
	if text == "" {
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.addError(at, "listen is no address with a port (%q)", text)
		return
	}
	r.reserveAddress(address, at, fmt.Sprintf("front %q", l.Name))
	l.Listen = address
}

// limits reads what a listener may use at most.
func (r *reader) limits(l *Listener, c *hcl.BodyContent) {
	blocks := c.Blocks.OfType("limits")
	r.atMostOne(blocks)
	attributes := []string{"connections", "rpcs", "memory_kb"}
	if l.OData != nil {
		attributes = append(attributes, "target_bytes", "head_bytes", "fields", "body_bytes", "batch", "abreast")
	}
	for _, b := range blocks {
		in := r.content(b.Body, attributes)
		l.Quota.Limits[quota.Connections] = r.intOf(in, "connections", 0, 1, 1<<20)
		l.Quota.Limits[quota.RPCs] = r.intOf(in, "rpcs", 0, 1, 1<<20)
		l.Quota.Limits[quota.Bytes] = r.intOf(in, "memory_kb", 0, 1, 1<<20) << 10
		if o := l.OData; o != nil {
			o.HTTP.Target = r.intOf(in, "target_bytes", o.HTTP.Target, 64, 64<<10)
			o.HTTP.Head = r.intOf(in, "head_bytes", o.HTTP.Head, 256, 64<<10)
			o.HTTP.Fields = r.intOf(in, "fields", o.HTTP.Fields, 4, 1000)
			o.HTTP.Body = r.intOf(in, "body_bytes", o.HTTP.Body, 256, 1<<20)
			o.MaxBatch = r.intOf(in, "batch", o.MaxBatch, 1, 1000)
			o.MaxConcurrent = r.intOf(in, "abreast", o.MaxConcurrent, 1, 100)
		}
	}
}
