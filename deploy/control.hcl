# One of three control machines, which store the configuration published for a fleet (docs/configuration.md): passtack control --operator control.hcl
control_machine "c0" {
  fleet  = "bureau"         # messages of other fleets are rejected
  listen = "127.0.0.1:7400" # address for drivers, publishers and the other control machines
  folder = "/var/lib/passtack/c0"
  peer "c1" {
    at = "127.0.0.2:7400"
  }
  peer "c2" {
    at = "127.0.0.3:7400"
  }
}
