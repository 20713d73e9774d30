# Half of the drivers run an older build (passtack rehearse --sockets --older=FILE). Drivers of both builds share one membership list, the
# leases and the published configuration, and drivers of either build restart while the other build serves. The drill looks for
# messages, stored data and configurations that one of the builds does not understand.
lasts = "30s"

fleet {
  drivers  = 6
  members  = 3
  peers    = true
  controls = 3
  folders  = true
  older    = [0, 2, 4]
}

load {
  rate     = 60
  retries  = 4
  sessions = 40

  method "look" {
    need  = "any"
    work  = "2ms..4ms"
    soft  = "1s"
    limit = "1500ms"
    share = 3
  }
  method "order" {
    need   = "write"
    effect = "tokened"
    window = "1200ms"
    work   = "2ms..4ms"
    soft   = "1s"
    limit  = "1500ms"
    share  = 1
  }
}

leases {
  voters  = [0, 1, 2]
  lasts   = "1s"
  summary = "100ms"
  watch   = true
  folders = true
}

view {
  every = "300ms"
}

publish {
  at   = "4s"
  text = <<EOT
{"settings": {"caps": {"most_tries": 3}}}
EOT
}
publish {
  at   = "16s"
  text = <<EOT
{"settings": {"caps": {"most_tries": 4}}}
EOT
}

trouble "driver_kill" {
  at    = "8s"
  lasts = "500ms"
  on    = [0, 3]
}
trouble "driver_stop" {
  at    = "14s"
  lasts = "1s"
  on    = [1]
}
trouble "driver_kill" {
  at    = "20s"
  lasts = "500ms"
  on    = [2, 5]
}

expect { ok = 0.95 }
