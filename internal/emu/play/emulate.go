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

// Emulate serves the script's members and discovery on loopback addresses until it is interrupted, and plays its troubles
// on them from the start. It writes the file with which a driver may be started to site, and tells the addresses.
func Emulate(s *Script, seed uint64, listen netip.AddrPort, site string, out io.Writer) error {
	l, err := eventloop.New(1<<15, 256<<20)
	if err != nil {
		return err
	}
	places, err := Free(1 + s.Groups*s.Members)
	if err != nil {
		return err
	}
	record := emu.NewRecord(emu.Allowed{})
	c, err := NewCluster(l, s, record, seed, func(n int) netip.AddrPort { return places[1+n] }, places[:1])
	if err != nil {
		return err
	}
	if err := os.WriteFile(site, s.SiteJSON(Told{Name: "d0", Listen: listen, Discovery: places[0], Seed: seed, Known: c.List(0, 0)}), 0o644); err != nil {
		return err
	}
	fmt.Fprintf(out, "discovery=%s site=%s\n", places[0], site)
	for _, m := range c.members {
		fmt.Fprintf(out, "member=%s group=%d listen=%s\n", m.model.Name, m.group, m.at)
	}
	for _, t := range s.Troubles {
		l.At(l.Now()+t.At, func() {
			fmt.Fprintf(out, "trouble=%s on=%v lasts=%v\n", t.Kind, t.On, t.Lasts)
			c.Trouble(t, l.Now()+t.Lasts)
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
	return c.fault
}
