#!/usr/bin/env bash
# Generates Go code from the .proto files. With --check it fails if the committed
# code differs from newly generated code. The build does not need buf; if buf is
# not installed, this script installs it with the Go command.
set -euo pipefail
cd "$(dirname "$0")/.."
check=${1:-}
buf=$(command -v buf || true)
if [ -z "$buf" ] && [ -x "$(go env GOPATH)/bin/buf" ]; then buf="$(go env GOPATH)/bin/buf"; fi
if [ -z "$(git ls-files '*.proto')" ] && [ -z "$(find internal -name '*.proto')" ]; then exit 0; fi
if [ -z "$buf" ]; then
  # Outside of the module, so that go.mod does not change.
  (cd / && go install github.com/bufbuild/buf/cmd/buf@v1.75.0)
  buf="$(go env GOPATH)/bin/buf"
fi
tools=$(mktemp -d); out=$(mktemp -d)
trap 'rm -rf "$tools" "$out"' EXIT
go build -o "$tools/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
cat > "$tools/buf.gen.yaml" <<EOF
version: v2
plugins:
  - local: $tools/protoc-gen-go
    out: $out
    opt: paths=source_relative
  - local: $tools/protoc-gen-twirp
    out: $out
    opt: paths=source_relative
EOF
"$buf" generate --template "$tools/buf.gen.yaml" internal
if [ -n "$check" ]; then
  status=0
  while read -r f; do
    cmp -s "$out/$f" "internal/$f" || { echo "generated code is out of date: internal/$f"; status=1; }
  done < <(cd "$out" && find . -name '*.go' | sed 's|^\./||')
  exit $status
fi
cp -r "$out/." internal/
