# All drivers are killed, and discovery says nothing for five seconds.
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
