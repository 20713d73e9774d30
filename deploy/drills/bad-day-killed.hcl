# All drivers are killed at the same time while two members are slow and two replicas lag. The drill shows how much service is lost after
# the restart if the drivers no longer know which members were slow or lagging. docs/state.md compares it with and without stored state.
like = "common/ten-drivers.hcl"

trouble "driver_kill" {
  at    = "4s"
  lasts = "1s"
  part  = 1
}

expect { ok = 0.5 }

trouble "slow" {
  at = "1s"
  lasts = "40s"
  on = [1, 5]
  times = 8
}
trouble "lag" {
  at = "1s"
  lasts = "40s"
  on = [2, 6]
  times = 900
}
