# All drivers and all members die in one instant; the members come back cold.
like = "common/ten-drivers.hcl"
lasts = "15s"

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
