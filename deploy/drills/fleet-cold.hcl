# As all-cold.hcl, with 300 drivers and 120 members. Meant for simulated time.
like = "common/ten-drivers.hcl"
lasts = "15s"

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
  lasts = "1s"
  part  = 1
}
trouble "kill" {
  at    = "4s"
  lasts = "500ms"
  part  = 1
}

expect { ok = 0.5 }
