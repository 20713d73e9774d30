# Drivers that keep what they learn are killed together; some find their folder emptied, an older copy of it, or a bit of it flipped.
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
