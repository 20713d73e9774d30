# Half of the drivers stand still for ten seconds, longer than any time-out, and go on with all that they knew.
like = "common/ten-drivers.hcl"
lasts = "17s"

trouble "driver_pause" {
  at    = "3s"
  lasts = "10s"
  part  = 0.5
}

expect { ok = 0.5 }
