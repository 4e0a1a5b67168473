#!/usr/bin/env bash
# Starts one deployment on loopback as separate processes, sends requests,
# checks that the books balance and stops everything gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-adwenpa}
conf=deployments/$deployment
# shellcheck disable=SC1090
source "$conf/demo.env"

work=$(mktemp -d)
stop_all() {
  trap - EXIT INT TERM
  stop_group "${endpoint_pids[@]}"
  stop_group "${router_pids[@]}"
  stop_group "${keeper_pids[@]}"
  rm -rf "$work"
}
stop_group() {
  [ $# -gt 0 ] || return 0
  kill -TERM "$@" 2>/dev/null || true
  for p in "$@"; do wait "$p" 2>/dev/null || true; done
}
endpoint_pids=() router_pids=() keeper_pids=()
show_logs() {
  echo "demo failed; logs:"
  grep -h . "$work"/log/*-[12] "$work"/log/*keeper | tail -n 20
}
# When the reader of the output is gone, a write must not end the clean-up:
# the processes would run on and answer the next demo.
on_exit() {
  local code=$?
  trap '' PIPE
  set +e
  # A signal, 128 and above, is no failure of the demo.
  if [ "$code" -gt 0 ] && [ "$code" -lt 128 ]; then show_logs 2>/dev/null; fi
  stop_all
  exit "$code"
}
trap on_exit EXIT
trap 'exit 130' INT TERM
trap 'exit 141' PIPE

go build -o "$work/" ./cmd/rattanhoist ./cmd/rattanhoist-standin
mkdir -p "$work/keys" "$work/log"
cp "$conf/rattanhoist.ini" "$work/"
for k in deployment operator endpoint; do
  head -c 24 /dev/urandom | base64 >"$work/keys/$k.key"
  chmod 600 "$work/keys/$k.key"
done
cd "$work"
rh() { ./rattanhoist "$@"; }
rh check

for z in "${zones[@]}"; do
  ./rattanhoist keeper --name "$z-keeper" >"log/$z-keeper" 2>&1 & keeper_pids+=($!)
  for n in 1 2; do ./rattanhoist router --name "$z-$n" >"log/$z-$n" 2>&1 & router_pids+=($!); done
done
routers=()
for i in "${!zones[@]}"; do routers+=("127.$net.$((i + 1)).1:8080" "127.$net.$((i + 1)).2:8080"); done
list=$(IFS=,; echo "${routers[*]}")
start_endpoints() { # kind service count first-port
  local i z
  for i in $(seq 1 "$3"); do
    z=${zones[$(((i - 1) % 3))]}
    ./rattanhoist-standin "$1" --name "$2-$i" --service "$2" --zone "$z" --label "tier=standard" \
      --listen "127.$net.100.$i:$4" --key-file keys/endpoint.key --router "$list" --run-log "log/runs-$2-$i" \
      >"log/$2-$i" 2>&1 & endpoint_pids+=($!)
  done
}
start_endpoints engine "$model_service" "$model_workers" 9000
start_endpoints plain "$plain_service" "$plain_workers" 9001

paid=20000
for try in $(seq 1 100); do rh config show >/dev/null 2>&1 && break; sleep 0.1; done
key=$(rh workspace create "$workspace" | sed -n 's/.*"key": "\(.*\)".*/\1/p')
rh service set "$model_service" --kind model --model "$model" --prompt-price 1 --answer-price 2 --max-answer-tokens 256
rh service set "$plain_service" --kind plain --call-price 5
rh statement set all-standard --workspaces "name=$workspace" --endpoints "tier=standard"
rh budget topup "$workspace" "$paid" --id "${zones[0]}/receipt-1"
rh budget topup "$workspace" "$paid" --id "${zones[0]}/receipt-1"
for r in "${routers[@]}"; do
  for try in $(seq 1 100); do curl -fsS "http://$r/healthz" >/dev/null 2>&1 && break; sleep 0.1; done
done
# serving: every router serves the keepers' configuration and has heard of every
# endpoint.
serving() {
  rh status | awk -v endpoints="$((model_workers + plain_workers))" '
    $1 == "KEEPER" || $1 == "ROUTER" { table = $1; for (i = 1; i <= NF; i++) column[$i] = i; next }
    table == "KEEPER" && NF && $column["VERSION"] > latest { latest = $column["VERSION"] }
    table == "ROUTER" && NF { all++; if ($column["VERSION"] == latest && $column["ENDPOINTS"] == endpoints) ready++ }
    END { exit !(all > 0 && all == ready) }'
}
for try in $(seq 1 100); do serving && break; sleep 0.1; done
serving || { echo "the routers did not come to serve all endpoints in 10 s"; exit 1; }

# left prints the tokens not spent, charged and paid, over all zones.
left() {
  rh budget show "$workspace" | awk '
    NR == 1 { for (i = 1; i <= NF; i++) column[$i] = i }
    $1 == "total" {
      print $column["UNSPENT"] + $column["LEASED"] + $column["GIVEN"] - $column["RECEIVED"], $column["CHARGED"], $column["MINTED"]
    }'
}
n=0
for r in "${routers[@]}"; do
  for stream in true false; do
    n=$((n + 1))
    ./rattanhoist-standin call --router "$r" --key "$key" --id "demo-$n" --model "$model" --stream=$stream --max-tokens 64 --prompt "$prompt"
    read -r l c m <<<"$(left)"
    echo "             left=$l charged=$c paid=$m"
  done
done
curl -fsS -D "log/headers" -H "Authorization: Bearer $key" -H "Idempotency-Key: plain-1" "http://${routers[0]}/v1/services/$plain_service/status/7"
grep -i -E 'answer-endpoint|charged-tokens' log/headers
read -r l c m <<<"$(left)"
rh budget show "$workspace"
[ "$((l + c))" = "$paid" ] && [ "$m" = "$paid" ] || { echo "books do not balance: left $l + charged $c, paid $paid"; exit 1; }
runs=$(cat log/runs-* | grep -c '"begin"')
bills=$(rh budget history "$workspace" -o json | grep -c '"request_id"')
echo "left $l + charged $c = paid $paid; runs $runs, bills $bills"
[ "$runs" = "$bills" ] || { echo "runs and bills differ"; exit 1; }
