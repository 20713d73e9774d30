# Leases for work that one driver does for its fleet: a sample for an installation whose drivers talk with each other (docs/leases.md).
control {
  listen = "127.0.0.1:7070" # passtack status and passtack leases ask here
}

leases {
  fleet   = "bureau"
  version = 1
  voters  = ["n0", "n1", "n2"] # names of drivers; any driver may ask and hold
  lasts   = "5s"
  longest = "10s"
  folder  = "/var/lib/passtack/n0-votes"

  task "summary" {
    every = "1s"
    to    = "127.0.0.1:9000"
    path  = "/fleet"
  }
  task "watch-discovery" {}
}
