#!/bin/sh
# Builds the stand-ins of all cases. The project's own programs are built as deploy/balancer.toml says.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o review/bin/standin ./review/standin
