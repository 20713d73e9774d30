package config

import (
	"net/netip"

	"github.com/hashicorp/hcl/v2"
)

// control reads the address of the control endpoint, which only processes of the same machine may reach.
func (r *reader) control(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"listen"})
	if c == nil {
		return
	}
	text, at := r.textOf(c, "listen", "")
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().IsLoopback() {
		r.addError(at, "listen is no loopback address with a port (%q)", text)
		return
	}
	r.reserveAddress(address, at, "the control address")
	f.Control = address
}
