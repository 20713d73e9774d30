# 70 % of the drivers are killed at the same time, in the middle of a burst, and restart together after 0.5 s.
like = "common/ten-drivers.hcl"

trouble "driver_kill" {
  at    = "4s"
  lasts = "500ms"
  part  = 0.7
}

expect { ok = 0.9 }
