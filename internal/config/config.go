// Package config reads the operator's configuration file (HCL): the listeners in addition to the platform's, what each of them serves and its
// limits, the protocol of the members, what a driver persists, and its part in its fleet. All errors in a file are reported together, each
// with file, line, column and value.
//
// The code that reads a type of block is in its own source file.
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

// File is a checked operator's file. Fields of missing blocks are nil.
type File struct {
	LogLevel   slog.Level
	LogSample  int64       // maximum log lines per event and second; 0: unlimited
	Listeners  []*Listener // the platform's listener comes first
	Forms      map[driver.Group]driver.Form
	MemberRoot string         // path of the service root on members that speak OData
	MemberHost string         // Host header field of requests to these members; "": the driver's name
	Control    netip.AddrPort // address of the control endpoint; invalid: no endpoint

	State          *State
	Leases         *Leases
	Membership     *Membership
	Configuration  *Configuration
	ControlMachine *server.MachineConfig // only in the file of a control machine

	recheck func(methods []Method) (*File, error)
}

// Method holds the platform's settings of a method that the file is checked against.
type Method struct {
	Name                      string
	Need                      string // any, bounded, session, fresh or write
	Idempotent                bool
	HasIdempotencyKey         bool          // RPCs of the method carry an idempotency key
	Window                    time.Duration // how long members recognize the key
	SoftDeadline, MaxDeadline time.Duration
}

// Default returns the configuration without a file: only the platform's listener, without limits.
func Default() *File { return &File{Listeners: []*Listener{platformListener()}} }

func platformListener() *Listener {
	return &Listener{Protocol: "pg", Name: "platform", Quota: quota.Config{Weight: 1}}
}

// Read reads and checks a file. listen is the address of the platform's listener, methods are the methods in the settings. Errors in the file
// are returned as ValidationErrors.
func Read(name string, listen netip.AddrPort, methods []Method) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(text, name, listen, methods)
}

// Parse checks the text of a file like Read. The name is used in errors.
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

// Recheck checks the text of the file again, with other methods.
func (f *File) Recheck(methods []Method) (*File, error) {
	if f.recheck == nil {
		return f, nil
	}
	return f.recheck(methods)
}
