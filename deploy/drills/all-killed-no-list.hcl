# All drivers are killed at the same time, and discovery is silent for 6 s: until 5 s after the drivers have restarted.
like = "common/ten-drivers.hcl"

trouble "driver_kill" {
  at    = "4s"
  lasts = "1s"
  part  = 1
}
trouble "discovery" {
  at    = "4s"
  lasts = "6s"
}

expect { ok = 0.5 }
