package fleet

import (
	"testing"
	"time"
)

// In every drawn course of crashes, starts, stops, cuts and losses all drivers together never take more than the whole; without faults they take
// nearly all of it, and those who are left take the parts of those who are gone.
func TestPartsNeverExceedTheWhole(t *testing.T) {
	const whole = 1200
	sum := func(w *world, parts []*Parts) (all int) {
		for i, h := range w.all {
			if h.up {
				all += parts[i].Of(whole, w.now)
			}
		}
		return all
	}
	follow := func(w *world, check func(sum int)) []*Parts {
		parts, lives := make([]*Parts, len(w.all)), make([]uint64, len(w.all))
		var look func()
		look = func() {
			for i, h := range w.all {
				if parts[i] == nil || lives[i] != h.life {
					parts[i], lives[i] = NewParts(every), h.life
				}
				if h.up && w.now >= h.paused {
					parts[i].See(h.view.Living(), len(w.all), w.now)
				}
			}
			check(sum(w, parts))
			w.at(500*ms, look)
		}
		w.at(0, look)
		return parts
	}
	for seed := range uint64(150) {
		w := newWorld(seed, 5+int(seed%8))
		w.startAll(2 * time.Second)
		for range 14 {
			w.at(time.Duration(w.chance.Float()*float64(4*time.Minute)), w.trouble)
		}
		most := 0
		follow(w, func(sum int) { most = max(most, sum) })
		w.run(6 * time.Minute)
		if most > whole {
			t.Errorf("seed %d: %d of %d are taken", seed, most, whole)
		}
	}
	w := newWorld(1, 10)
	w.startAll(time.Second)
	parts := follow(w, func(int) {})
	w.run(2 * time.Minute)
	if all := sum(w, parts); all < whole*9/10 || all > whole {
		t.Errorf("without faults %d of %d are taken", all, whole)
	}
	for i := range 3 {
		w.all[i].kill()
	}
	w.run(3 * time.Minute)
	if all := sum(w, parts); all < whole*3/4 || all > whole {
		t.Errorf("with three gone the others take %d of %d", all, whole)
	}
	w.cut = func(a, b int) bool { return (a == 9) != (b == 9) }
	w.run(3 * time.Minute)
	if alone := parts[9].Of(whole, w.now); alone != whole/20 {
		t.Errorf("one that is alone takes %d", alone)
	}
}

// What a number in the settings does that nobody corrects: it is either too much or too little as soon as drivers die or start.
func TestAPartShrinksAtOnceAndGrowsLate(t *testing.T) {
	p, now := NewParts(time.Second), time.Hour
	see := func(living int, lasts time.Duration) {
		for end := now + lasts; now < end; now += time.Second {
			p.See(living, 10, now)
		}
	}
	see(6, 10*time.Second)
	if got := p.Of(400, now); got != 20 {
		t.Errorf("one that has just started takes %d", got)
	}
	see(6, 25*time.Second)
	if got := p.Of(400, now); got != 53 {
		t.Errorf("one of six takes %d", got)
	}
	see(8, time.Second)
	if got := p.Of(400, now); got != 45 {
		t.Errorf("when two join it takes %d", got)
	}
	see(6, 55*time.Second)
	if got := p.Of(400, now); got != 45 {
		t.Errorf("soon after two are gone it takes %d", got)
	}
	see(6, 10*time.Second)
	if got := p.Of(400, now); got != 53 {
		t.Errorf("long after that it takes %d", got)
	}
	see(3, 25*time.Second)
	if got := p.Of(400, now); got != 53 {
		t.Errorf("cut off, before its lease is over, it takes %d", got)
	}
	see(3, 10*time.Second)
	if got := p.Of(400, now); got != 20 || p.Whole(now) {
		t.Errorf("cut off it takes %d", got)
	}
}
