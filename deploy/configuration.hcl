# What a driver's operator's file says to have its configuration from control machines (docs/configuration.md).
configuration {
  fleet    = "bureau"
  machines = ["127.0.0.1:7400", "127.0.0.2:7400", "127.0.0.3:7400"]
  folder   = "/var/lib/passtack/n0-configuration" # may be left out: a restart then begins with the driver's own file
}
