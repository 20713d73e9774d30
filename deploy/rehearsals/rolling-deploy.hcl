# A rolling deployment: the members of a group drain one after the other, 12 s apart and the primary last, and restart cold after 4 s. No RPC
# should be lost.
lasts = "60s"

fleet {
  drivers    = 2
  groups     = 1
  members    = 4
  cores      = 4
  list_delay = "1500ms"
  warm       = "10s"
  notice     = "1s..2s"
  takeover   = "1s..2500ms"
}

load {
  rate     = 150
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

trouble "drain" {
  at    = "5s"
  lasts = "4s"
  on    = [1]
}
trouble "drain" {
  at    = "17s"
  lasts = "4s"
  on    = [2]
}
trouble "drain" {
  at    = "29s"
  lasts = "4s"
  on    = [3]
}
trouble "drain" {
  at    = "41s"
  lasts = "4s"
  on    = [0]
}

expect { ok = 0.95 }
