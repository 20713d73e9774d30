# All drivers are killed, and 60 % of them are killed again while they recover.
like = "common/ten-drivers.hcl"

trouble "driver_kill" {
  at     = "4s"
  lasts  = "1s"
  within = "500ms"
  part   = 1
}
trouble "driver_kill" {
  at    = "6s"
  lasts = "1s"
  part  = 0.6
}

expect { ok = 0.5 }
