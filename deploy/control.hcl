# One of three control machines, which keep what is published for a fleet (docs/configuration.md): passtack control --operator control.hcl
control_machine "c0" {
  fleet  = "bureau"         # drivers and machines of another fleet are not heard
  listen = "127.0.0.1:7400" # for drivers, publishers and the other machines
  folder = "/var/lib/passtack/c0"
  peer "c1" {
    at = "127.0.0.2:7400"
  }
  peer "c2" {
    at = "127.0.0.3:7400"
  }
}
