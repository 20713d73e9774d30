# All drivers are killed at the same time, in the middle of a burst, and restart together after 2 s. The drill looks for floods of new
# connections and for overloaded members when the clients return.
like = "common/ten-drivers.hcl"

trouble "driver_kill" {
  at    = "4s"
  lasts = "2s"
  part  = 1
}

expect { ok = 0.5 }
