# A partition separates drivers and members into two halves for 6 s. Meanwhile the drivers of the half with both primaries are killed, and
# restart after 1 s without a connection to the other half.
like = "common/ten-drivers.hcl"

trouble "partition" {
  at      = "3s"
  lasts   = "6s"
  islands = [["d0..4", "m0..1", "m4..5"], ["d5..9", "m2..3", "m6..7"]]
}
trouble "driver_kill" {
  at    = "5s"
  lasts = "1s"
  on    = [0, 1, 2, 3, 4]
}

expect { ok = 0.3 }
