# Seven in ten drivers are killed; their clients go to those that live, and stay there.
like = "common/ten-drivers.hcl"

load {
  route = "stay"
}

trouble "driver_kill" {
  at    = "4s"
  lasts = "2s"
  part  = 0.7
}

expect { ok = 0.5 }
