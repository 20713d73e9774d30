# Three times the usual load for 10 s, more than the members can serve, while one replica applies its log 20 times as slowly. Drivers must
# push back the RPCs with the least utility for their work.
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
  rate     = 900
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

  surge {
    from  = "8s"
    to    = "18s"
    times = 3
  }
}

trouble "lag" {
  at    = "10s"
  lasts = "6s"
  on    = [1]
  times = 20
}

expect { ok = 0.8 }
