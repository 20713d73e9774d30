package play

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"passtack/internal/emu"
	"passtack/internal/eventloop"
)

// Emulate serves the script's members and discovery on loopback addresses until it is interrupted, and plays the
// script's faults from the start. It writes a file with which a driver can be started to site, and prints the
// addresses.
func Emulate(s *Script, seed uint64, listen netip.AddrPort, site string, out io.Writer) error {
	l, err := eventloop.New(1<<15, 256<<20)
	if err != nil {
		return err
	}
	addrs, err := FreeAddrs(1 + s.Groups*s.Members)
	if err != nil {
		return err
	}
	record := emu.NewRecord(emu.Tolerance{})
	c, err := NewCluster(l, s, record, seed, func(n int) netip.AddrPort { return addrs[1+n] }, addrs[:1])
	if err != nil {
		return err
	}
	if err := os.WriteFile(site, s.SiteJSON(DriverSite{Name: "d0", Listen: listen, Discovery: addrs[0], Seed: seed, Known: c.List(0, 0)}), 0o644); err != nil {
		return err
	}
	fmt.Fprintf(out, "discovery=%s site=%s\n", addrs[0], site)
	for _, m := range c.members {
		fmt.Fprintf(out, "member=%s group=%d listen=%s\n", m.model.Name, m.group, m.addr)
	}
	for _, f := range s.Faults {
		l.At(l.Now()+f.At, func() {
			fmt.Fprintf(out, "trouble=%s on=%v lasts=%v\n", f.Kind, f.On, f.Duration)
			c.InjectFault(f, l.Now()+f.Duration)
		})
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		l.Stop()
		l.Wake()
	}()
	if err := l.Run(func() {}); err != nil {
		return err
	}
	fmt.Fprintf(out, "attempts=%d\n", record.Arrivals())
	return c.err
}
