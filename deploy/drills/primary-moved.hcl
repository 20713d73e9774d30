# While all drivers are down the primaries hang, others take over, and the old ones answer again.
like = "common/ten-drivers.hcl"

trouble "driver_kill" {
  at    = "4s"
  lasts = "4s"
  part  = 1
}
trouble "pause" {
  at    = "4s"
  lasts = "4500ms"
  on    = [0, 4]
}

expect { ok = 0.5 }
