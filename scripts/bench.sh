#!/usr/bin/env bash
# Starts Adwenpa's nine processes and a plain endpoint at loopback addresses of
# their own, and compares calls through the two routers of one zone with direct
# calls of the same endpoint.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
stop() {
  local code=$?
  trap '' PIPE
  set +e
  [ "$code" = 0 ] || tail -n 3 "$work"/log/* >&2
  [ ${#pids[@]} = 0 ] || kill -TERM "${pids[@]}" 2>/dev/null
  wait
  rm -rf "$work"
  exit "$code"
}
trap stop EXIT
trap 'exit 130' INT TERM
trap 'exit 141' PIPE
# One decision of where a prompt goes, at 12 and at 216 endpoints.
go test -run "^$" -bench Choose ./predictor
go build -o "$work/" ./cmd/rattanhoist ./cmd/rattanhoist-standin
sed 's/127\.[0-9]*\./127.218./g' deployments/adwenpa/rattanhoist.ini >"$work/rattanhoist.ini"
cd "$work"
mkdir keys log
for k in deployment operator endpoint; do
  head -c 24 /dev/urandom | base64 >"keys/$k.key"
  chmod 600 "keys/$k.key"
done
for zone in osu-hall tema-hall legon-hall; do
  ./rattanhoist keeper --name "$zone-keeper" >"log/$zone-keeper" 2>&1 & pids+=($!)
  for n in 1 2; do ./rattanhoist router --name "$zone-$n" >"log/$zone-$n" 2>&1 & pids+=($!); done
done
routers=127.218.1.1:8080,127.218.1.2:8080
./rattanhoist-standin plain --name desk-1 --service desk --zone osu-hall --listen 127.218.100.1:9001 \
  --pace 0s --capacity 1024 --key-file keys/endpoint.key --router "$routers" --run-log log/runs >log/desk-1 2>&1 & pids+=($!)
# until COMMAND... repeats a command for 10 s at most.
until_done() {
  for _ in $(seq 1 100); do "$@" >/dev/null 2>&1 && return; sleep 0.1; done
  echo "did not come about in 10 s: $*" >&2
  return 1
}
until_done ./rattanhoist config show
key=$(./rattanhoist workspace create bench | sed -n 's/.*"key": "\(.*\)".*/\1/p')
./rattanhoist service set desk --kind plain --call-price 1
./rattanhoist statement set all
until_done ./rattanhoist budget topup bench 100000000 --id osu-hall/bench
for r in 127.218.1.1:8080 127.218.1.2:8080; do
  until_done curl -fsS "http://$r/healthz"
  until_done curl -fsS -d hello -H "Authorization: Bearer $key" "http://$r/v1/services/desk/hop"
done
./rattanhoist-standin hop --router "$routers" --endpoint 127.218.100.1:9001 --key "$key" --workspace bench --service desk "$@"
