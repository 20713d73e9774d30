# 70 % of the drivers are killed. Their clients move to the drivers that still run, and stay there after the others have restarted.
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
