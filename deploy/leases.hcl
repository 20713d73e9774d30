# Leases for work that one driver does for its fleet: a sample for installations whose drivers may exchange messages (docs/leases.md).
control {
  listen = "127.0.0.1:7070" # address that passtack status and passtack leases query
}

leases {
  fleet   = "bureau"
  version = 1
  voters  = ["n0", "n1", "n2"] # names of drivers; drivers that are not voters may hold leases too
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
