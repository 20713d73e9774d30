# All drivers and all members are killed at the same time; the members restart cold. The drill looks for drivers that send nothing
# to cold members because no warm member is known, and for drivers that overload cold members.
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
