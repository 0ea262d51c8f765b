#!/bin/sh
# Writes generated code anew: enum names by stringer, messages by protoc where it is present.
set -eu
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin" golang.org/x/tools/cmd/stringer google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$bin:$PATH" go generate ./...
if command -v protoc >/dev/null 2>&1 && [ -f peer/peer.proto ]; then
	PATH="$bin:$PATH" protoc --proto_path=. --go_out=. --go_opt=paths=source_relative \
		--twirp_out=. --twirp_opt=paths=source_relative peer/peer.proto
fi
