# A driver that saves its learned state every 100 ms is killed 1,000 times, 331 ms apart, so that kills hit every phase of saving. The
# drill looks for restarts that find an incomplete state. With processes it takes six minutes.
lasts = "340s"

fleet {
  drivers    = 3
  members    = 3
  folders    = true
  save_every = "100ms"
}

load {
  rate     = 60
  retries  = 4
  sessions = 50

  method "look" {
    need  = "any"
    work  = "2ms..4ms"
    soft  = "1s"
    limit = "1500ms"
    share = 1
  }
}

trouble "driver_kill" {
  at    = "2s"
  lasts = "50ms"
  times = 1000
  every = "331ms"
  on    = [0]
}

expect { ok = 0.99 }
