# Every key of a driver's operator's file, each with a value of its own.

log {
  level  = "warn"
  sample = 51
}

front "pg" "portal" {
  weight = 2.5
  limits {
    connections = 101
    rpcs        = 102
    memory_kb   = 103
  }
}

front "pg" "second" {
  listen = "10.0.0.1:6544"
}

front "odata" "offices" {
  listen    = "10.0.0.1:8080"
  root      = "/odata/"
  namespace = "Karoo.Two"
  weight    = 3

  limits {
    connections  = 201
    rpcs         = 202
    memory_kb    = 203
    target_bytes = 1001
    head_bytes   = 1002
    fields       = 53
    body_bytes   = 1004
    batch        = 55
    abreast      = 6
  }

  repeats {
    kept      = "7m"
    memory_kb = 1025
    open      = 1026
    sticky    = true
  }

  set "Applications" {
    type   = "Form"
    key    = "Id"
    etag   = "Version"
    page   = 99
    groups = [0]

    property "Id" { max_length = 64 }
    property "Version" {
      type     = "Edm.Int64"
      nullable = true
      column   = "revision"
    }

    operation "read" {
      method      = "look"
      after_write = "own"
      statement   = "SELECT doc FROM items WHERE id = {key}"
    }
    operation "create" {
      method    = "order"
      statement = "INSERT INTO items (id, doc) VALUES ({key}, {body}) RETURNING doc"
    }
  }

  set "Drafts" {
    key    = "Id"
    groups = [3, 4]

    property "Id" {}

    operation "read" {
      method = "own"
    }
  }
}

members "odata" {
  groups = [3, 4]
  root   = "/v4/"
  host   = "members.example"
}

state {
  folder  = "/FOLDER/learned"
  every   = "1500ms"
  most_kb = 4097
}

control {
  listen = "127.0.0.1:7070"
}

view {
  fleet       = "bureau"
  every       = "900ms"
  connections = 77
}

leases {
  fleet   = "bureau"
  version = 3
  voters  = ["n0", "n1", "n2"]
  former  = ["n0", "n3", "n4"]
  lasts   = "4s"
  longest = "9s"
  folder  = "/FOLDER/votes"

  task "summary" {
    every = "2s"
    to    = "10.0.7.1:9000"
    path  = "/summaries"
  }
  task "watch-discovery" {}
}

configuration {
  fleet    = "bureau"
  machines = ["10.0.8.1:7400", "10.0.8.2:7400", "10.0.8.3:7400"]
  folder   = "/FOLDER/configuration"
}
