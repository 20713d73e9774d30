# Block of the operator's file of a driver that gets its configuration from control machines (docs/configuration.md).
configuration {
  fleet    = "bureau"
  machines = ["127.0.0.1:7400", "127.0.0.2:7400", "127.0.0.3:7400"]
  folder   = "/var/lib/passtack/n0-configuration" # optional; without it the driver starts with its own file
}
