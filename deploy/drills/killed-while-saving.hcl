# A driver that saves what it learns all the time is killed a thousand times, at any point of saving. Takes six minutes, with processes.
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
