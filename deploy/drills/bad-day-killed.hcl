# All drivers are killed in one instant while two members are slow and two replicas lag; what they had learned of that counts when they are back.
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
