package config

import (
	"net/netip"

	"github.com/hashicorp/hcl/v2"
)

// control reads the address of the control endpoint. It must be a loopback address, so that only processes of the same machine can connect.
func (r *reader) control(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"listen"})
	if c == nil {
		return
	}
	text, location := r.textOf(c, "listen", "")
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().IsLoopback() {
		r.addError(location, "listen must be a loopback address with a port, got %q", text)
		return
	}
	r.reserveAddress(address, location, "the control address")
	f.Control = address
}
