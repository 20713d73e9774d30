# Drivers that store learned state are killed together and restart with their folders unchanged. Later they are killed again, and restart
# with the folder emptied, replaced by an older copy, or with one bit flipped. The drill looks for drivers that do not start, or that use
# corrupt or outdated state as if it were current.
like = "common/ten-drivers.hcl"

fleet {
  folders    = true
  save_every = "200ms"
}

trouble "driver_kill" {
  at    = "4s"
  lasts = "500ms"
  part  = 1
}
trouble "driver_kill" {
  at     = "7s"
  lasts  = "300ms"
  on     = [0, 1, 2]
  folder = "emptied"
}
trouble "driver_kill" {
  at     = "7s"
  lasts  = "300ms"
  on     = [3, 4, 5]
  folder = "older"
}
trouble "driver_kill" {
  at     = "7s"
  lasts  = "300ms"
  on     = [6, 7, 8, 9]
  folder = "flipped"
}

expect { ok = 0.5 }
