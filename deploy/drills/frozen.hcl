# Half of the drivers are paused for 10 s, longer than any timeout, and continue with what they knew before the pause. The drill looks for
# decisions based on outdated knowledge, and for floods of new connections.
like = "common/ten-drivers.hcl"
lasts = "17s"

trouble "driver_pause" {
  at    = "3s"
  lasts = "10s"
  part  = 0.5
}

expect { ok = 0.5 }
