# 70 % of 300 drivers are killed at the same time, in the middle of a burst, and restart together after 2 s. Meant for simulated time.
like = "common/ten-drivers.hcl"

fleet {
  drivers = 300
  groups  = 24
  members = 5
}

load {
  rate     = 4000
  sessions = 20000
  method "status-read" {
    work = "52ms..92ms"
  }
  method "own-read" {
    work = "52ms..92ms"
  }
  method "apply-write" {
    work = "20ms..36ms"
  }
}

trouble "driver_kill" {
  at    = "4s"
  lasts = "2s"
  part  = 0.7
}

expect { ok = 0.9 }
