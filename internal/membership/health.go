package membership

import "time"

// maxHealthScore bounds localHealth: a driver that is slow itself waits up to nine times as long for others.
const maxHealthScore = 8

// localHealth estimates whether this driver is slow or cut off itself, and then gives others more time. It is the local health
// multiplier of Lifeguard (Dadgar, Phillips and Currey, 2018).
type localHealth struct {
	score                    int           // 0: healthy
	suspicionSuppressedUntil time.Duration // until then this driver does not suspect others
}

func (h *localHealth) degrade(by int) { h.score = min(h.score+by, maxHealthScore) }

func (h *localHealth) improve() { h.score = max(h.score-1, 0) }

// scale lengthens a timeout by the score.
func (h *localHealth) scale(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+h.score)
}

// detectPause notices that this process was suspended or starved: its timer was late by a probe interval or more. It could not
// receive answers meanwhile, so it drops the pending probe and does not suspect others for answers that it missed.
func (l *List) detectPause(now time.Duration) {
	late := now - max(l.lastActive, min(l.NextWake(), now))
	if late < l.config.ProbeInterval {
		return
	}
	l.stats.Pauses++
	l.health.degrade(2)
	l.health.suspicionSuppressedUntil = now + l.config.ProbeInterval
	l.prober.pending = probe{}
	l.prober.nextAt = now
	for _, node := range l.nodes.sorted {
		if node.Status == Suspect {
			node.suspicion.deadline += late
		}
	}
}
