# While all drivers are down, both primaries hang, other members become primary, and the former primaries answer again. The drill looks for
# drivers that send writes to the former primaries.
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
