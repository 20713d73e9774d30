package membership

import "time"

// maxHealthScore bounds the score of localHealth: a driver that is slow itself waits up to nine times as long for others.
const maxHealthScore = 8

// localHealth estimates whether this driver itself is slow or cut off, and lengthens its timeouts for others accordingly. It is the local
// health multiplier of Lifeguard (Dadgar, Phillips and Currey, 2018).
type localHealth struct {
	score                    int           // 0 is healthy
	suspicionSuppressedUntil time.Duration // before this time this driver does not suspect others
}

func (h *localHealth) degrade(points int) { h.score = min(h.score+points, maxHealthScore) }

func (h *localHealth) improve() { h.score = max(h.score-1, 0) }

// scale lengthens a timeout according to the score.
func (h *localHealth) scale(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+h.score)
}

// detectPause detects that this process was suspended or starved of processor time: its timer was late by a probe interval or more. As it could
// not receive answers in that time, it drops the pending probe and does not suspect others because of answers that it missed.
func (l *List) detectPause(now time.Duration) {
	late := now - max(l.lastActive, min(l.NextWake(), now))
	if late < l.config.ProbeInterval {
		return
	}
	l.stats.Pauses++
	l.health.degrade(2)
	l.health.suspicionSuppressedUntil = now + l.config.ProbeInterval
	l.prober.pending = probe{}
	l.prober.nextProbeAt = now
	for _, node := range l.nodes.sorted {
		if node.Status == Suspect {
			node.suspicion.deadline += late
		}
	}
}
