#!/usr/bin/env bash
# Starts the sample deployment without traffic, at loopback addresses of its
# own, and prints each process's memory and processor time after 20 s.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=20
work=$(mktemp -d)
pids=()
stop() {
  local code=$?
  trap '' PIPE
  set +e
  [ ${#pids[@]} = 0 ] || kill -TERM "${pids[@]}" 2>/dev/null
  wait
  rm -rf "$work"
  exit "$code"
}
trap stop EXIT
trap 'exit 130' INT TERM
trap 'exit 141' PIPE
go build -o "$work/" ./cmd/rattanhoist
sed 's/127\.[0-9]*\./127.219./g' deployments/adwenpa/rattanhoist.ini >"$work/rattanhoist.ini"
cd "$work"
mkdir keys log
for k in deployment operator endpoint; do
  head -c 24 /dev/urandom | base64 >"keys/$k.key"
  chmod 600 "keys/$k.key"
done
names=()
start() { # role name
  ./rattanhoist "$1" --name "$2" >"log/$2" 2>&1 &
  pids+=($!)
  names+=("$2")
}
for zone in osu-hall tema-hall legon-hall; do
  start keeper "$zone-keeper"
  start router "$zone-1"
  start router "$zone-2"
done
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
field() { awk -v f="$2:" '$1 == f {print $2 / 1000}' "/proc/$1/status"; }
sleep 5
before=()
for p in "${pids[@]}"; do before+=("$(ticks "$p")"); done
sleep "$seconds"
printf '%-18s %12s %12s %10s\n' process resident_mb own_mb core_pct
for i in "${!pids[@]}"; do
  p=${pids[$i]}
  share=$(awk -v a="${before[$i]}" -v b="$(ticks "$p")" -v s="$seconds" -v hz="$(getconf CLK_TCK)" 'BEGIN {print 100 * (b - a) / hz / s}')
  printf '%-18s %12s %12s %10s\n' "${names[$i]}" "$(field "$p" VmRSS)" "$(field "$p" RssAnon)" "$share"
done
