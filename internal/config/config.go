// Package config reads the operator's file (HCL): the listeners beside the platform's, what each offers and may use, which
// protocol members speak, what a driver persists, and its part in its fleet. All that is wrong with a file is reported at
// once, each error with its file, line, column and value.
//
// Each block of the file is read in a file of its own.
package config

import (
	"log/slog"
	"net/netip"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"passtack/driver"
	"passtack/internal/quota"
	"passtack/internal/rollout/server"
)

// File is an operator's file that has been checked. Blocks that it does not have are nil.
type File struct {
	LogLevel   slog.Level
	LogSample  int64       // lines of one event that are logged in a second; 0: all
	Listeners  []*Listener // the platform's first
	Forms      map[driver.Group]driver.Form
	MemberRoot string         // path under which members that speak OData serve
	MemberHost string         // the Host field of requests to them, "" for the driver's name
	Control    netip.AddrPort // of the control endpoint; invalid: there is none

	State          *State
	Leases         *Leases
	Membership     *Membership
	Configuration  *Configuration
	ControlMachine *server.MachineConfig // in the file of a control machine

	recheck func(methods []Method) (*File, error)
}

// Method is what the platform's settings say of a method, as far as the file is checked against it.
type Method struct {
	Name                      string
	Need                      string // any, bounded, session, fresh or write
	Idempotent                bool
	HasIdempotencyKey         bool          // its RPCs carry an idempotency key
	Window                    time.Duration // in which members recognize that key
	SoftDeadline, MaxDeadline time.Duration
}

// Default returns what applies without a file: the platform's listener, which may use everything.
func Default() *File { return &File{Listeners: []*Listener{platformListener()}} }

func platformListener() *Listener {
	return &Listener{Protocol: "pg", Name: "platform", Quota: quota.Config{Weight: 1}}
}

// Read reads and checks a file. The platform's listener has its own address, and the settings have the methods. Errors in the
// file are ValidationErrors.
func Read(name string, listen netip.AddrPort, methods []Method) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(text, name, listen, methods)
}

// Parse is Read for the text of a file. Errors have the name given.
func Parse(text []byte, name string, listen netip.AddrPort, methods []Method) (*File, error) {
	r := &reader{methods: methods, addresses: map[netip.AddrPort]string{listen: "the platform's listener"}, text: text}
	parsed, diagnostics := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	r.addDiagnostics(diagnostics)
	if parsed == nil || diagnostics.HasErrors() {
		return nil, r.errors
	}
	f := r.file(parsed.Body)
	if len(r.errors) > 0 {
		return nil, r.errors
	}
	f.recheck = func(methods []Method) (*File, error) { return Parse(text, name, listen, methods) }
	return f, nil
}

// Recheck checks the same text against other methods.
func (f *File) Recheck(methods []Method) (*File, error) {
	if f.recheck == nil {
		return f, nil
	}
	return f.recheck(methods)
}
