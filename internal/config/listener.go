package config

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"passtack/internal/quota"
)

// Listener is the configuration of one listener for clients.
type Listener struct {
	Protocol, Name string
	Listen         netip.AddrPort // invalid: the platform's listener
	Quota          quota.Config
	OData          *OData // nil for other protocols
}

// listeners reads all listeners and puts the platform's first. If the file has no block for the platform's listener, the default is used.
func (r *reader) listeners(f *File, blocks hcl.Blocks) {
	names := make(map[string]bool)
	hasPlatform := false
	for _, b := range blocks {
		l := r.listener(f, b)
		if l == nil {
			continue
		}
		if names[l.Name] {
			r.addError(b.LabelRanges[1], "duplicate front name %q", l.Name)
		}
		names[l.Name] = true
		if !l.Listen.IsValid() {
			if hasPlatform {
				r.addError(b.DefRange, "front %q has no listen: only one front, the platform's, may omit it", l.Name)
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
		r.addError(b.LabelRanges[0], "front protocol must be pg or odata, got %q", l.Protocol)
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
			r.addError(b.DefRange, "front %q has no listen", l.Name)
		}
		l.OData = r.odata(f, c, b)
	}
	r.limits(l, c)
	return l
}

func (r *reader) listenAddress(l *Listener, c *hcl.BodyContent) {
	text, location := r.textOf(c, "listen", "")
	if text == "" {
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.addError(location, "listen must be an IP address with a port, got %q", text)
		return
	}
	r.reserveAddress(address, location, fmt.Sprintf("front %q", l.Name))
	l.Listen = address
}

// limits reads the limits of a listener.
func (r *reader) limits(l *Listener, c *hcl.BodyContent) {
	blocks := c.Blocks.OfType("limits")
	r.atMostOne(blocks)
	attributes := []string{"connections", "rpcs", "memory_kb"}
	if l.OData != nil {
		attributes = append(attributes, "target_bytes", "head_bytes", "fields", "body_bytes", "batch", "abreast")
	}
	for _, b := range blocks {
		content := r.content(b.Body, attributes)
		l.Quota.Limits[quota.Connections] = r.intOf(content, "connections", 0, 1, 1<<20)
		l.Quota.Limits[quota.RPCs] = r.intOf(content, "rpcs", 0, 1, 1<<20)
		l.Quota.Limits[quota.Bytes] = r.intOf(content, "memory_kb", 0, 1, 1<<20) << 10
		if o := l.OData; o != nil {
			o.HTTP.Target = r.intOf(content, "target_bytes", o.HTTP.Target, 64, 64<<10)
			o.HTTP.Head = r.intOf(content, "head_bytes", o.HTTP.Head, 256, 64<<10)
			o.HTTP.Fields = r.intOf(content, "fields", o.HTTP.Fields, 4, 1000)
			o.HTTP.Body = r.intOf(content, "body_bytes", o.HTTP.Body, 256, 1<<20)
			o.MaxBatch = r.intOf(content, "batch", o.MaxBatch, 1, 1000)
			o.MaxConcurrent = r.intOf(content, "abreast", o.MaxConcurrent, 1, 100)
		}
	}
}
