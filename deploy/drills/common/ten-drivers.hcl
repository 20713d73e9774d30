# Base of most drills: ten drivers, two groups of four members, and a burst of 1.5 times the usual load from 3 s to 8 s. It has no faults.
lasts = "12s"

fleet {
  drivers     = 10
  groups      = 2
  members     = 4
  cores       = 4
  queue       = 64
  handshake   = "5ms"
  connections = 400
  list_delay  = "500ms"
  warm        = "8s"
}

load {
  rate     = 1200
  sessions = 2000
  retries  = 3
  route    = "spread"
  notice   = "1s"

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
    from  = "3s"
    to    = "8s"
    times = 1.5
  }
}
