# The primary of one group hangs for 8 s; later the primary of the other group is dead for 6 s. Attempts in flight at the hung primary may
# have run, so drivers must distinguish the two cases.
lasts = "30s"

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

trouble "pause" {
  at    = "6s"
  lasts = "8s"
  on    = [0]
}
trouble "kill" {
  at    = "16s"
  lasts = "6s"
  on    = [4]
}

expect { ok = 0.85 }
