# Sample of an operator's file: passtack serve --operator deploy/passtack.hcl. The platform's `run` does not use it, since the
# platform provides no second listener. docs/odata.md explains each entry; `passtack check` reports the errors in a file.

log {
  level  = "info"
  sample = 50 # maximum log lines per event and second; 0: unlimited
}

# The platform's listener. Without this block it has weight 1 and no limits.
front "pg" "portal" {
  weight = 2
}

front "odata" "offices" {
  listen    = "127.0.0.1:8080"
  root      = "/odata/"
  namespace = "Karoo"
  weight    = 1

  limits {
    connections = 200
    rpcs        = 500
    body_bytes  = 262144
    batch       = 50
    abreast     = 4
  }

  repeats {
    kept      = "5m"
    memory_kb = 1024
    sticky    = false
  }

  set "Applications" {
    type   = "Application"
    key    = "Id"
    etag   = "Version"
    page   = 100
    groups = [0]

    property "Id" { max_length = 64 }
    property "Status" { nullable = true }
    property "Version" {
      type     = "Edm.Int64"
      nullable = true
    }

    operation "read" {
      method      = "status-read"
      after_write = "own-read"
      statement   = "SELECT doc FROM items WHERE id = {key}"
    }
    operation "list" {
      method      = "status-read"
      after_write = "own-read"
      statement   = "SELECT json_agg(doc) FROM (SELECT doc FROM items WHERE {where} ORDER BY {order} LIMIT {top} OFFSET {skip}) x"
    }
    operation "create" {
      method    = "apply-write"
      statement = "INSERT INTO items (id, doc) VALUES ({key}, {body}) RETURNING doc"
    }
    operation "update" {
      method    = "apply-write"
      statement = "UPDATE items SET status = {Status}, version = version + 1 WHERE id = {key} RETURNING doc"
    }
    operation "delete" {
      method    = "apply-write"
      statement = "DELETE FROM items WHERE id = {key} RETURNING doc"
    }
  }
}

# Learned state is stored here across restarts. The folder must exist, and no other driver may use it (docs/state.md).
state {
  folder  = "/var/lib/passtack/n0"
  every   = "1s"
  most_kb = 32768
}
