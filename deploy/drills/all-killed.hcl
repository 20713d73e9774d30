# All drivers are killed in one instant, in the middle of a burst, and start again together.
like = "common/ten-drivers.hcl"

trouble "driver_kill" {
  at    = "4s"
  lasts = "2s"
  part  = 1
}

expect { ok = 0.5 }
