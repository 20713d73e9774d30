# One driver is killed for 1 s, and the other paused for 0.8 s; then the links between the first and the members lose 2 % of their data for
# 6 s, and those between the second and the members are cut for 2 s. Discovery is silent from 10 s to 30 s. Only RPCs at a driver that is down
# or cut off should remain unanswered.
lasts = "40s"

fleet {
  drivers    = 2
  groups     = 2
  members    = 4
  cores      = 4
  list_delay = "1500ms"
  warm       = "10s"
  notice     = "1s..2s"
  takeover   = "1s..2500ms"
}

load {
  rate     = 200
  sessions = 400
  retries  = 2

  method "status-read" {
    need    = "bounded"
    bound   = "800ms"
    work    = "13ms..23ms"
    soft    = "1s"
    limit   = "2500ms"
    utility = 3
    late    = 0.2
    share   = 51
  }
  method "own-read" {
    need    = "session"
    work    = "13ms..23ms"
    soft    = "800ms"
    limit   = "2s"
    utility = 1
    share   = 16
  }
  method "apply-write" {
    need    = "write"
    effect  = "tokened"
    window  = "1200ms"
    work    = "5ms..9ms"
    soft    = "600ms"
    limit   = "2s"
    utility = 6
    late    = 0.5
    share   = 33
  }
}

trouble "driver_kill" {
  at    = "6s"
  lasts = "1s"
  on    = [0]
}
trouble "driver_pause" {
  at    = "12s"
  lasts = "800ms"
  on    = [1]
}
trouble "loss" {
  at    = "16s"
  lasts = "6s"
  on    = [0]
  times = 0.02
}
trouble "cut" {
  at    = "26s"
  lasts = "2s"
  on    = [1]
}
trouble "discovery" {
  at    = "10s"
  lasts = "20s"
}

expect { ok = 0.85 }
