#!/usr/bin/env bash
# Plays one kind of trouble alone a day, on one site of the users' bench, and
# prints what it broke. Usage: platform_days.sh BENCH SITE [NAME ...]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2
shift 2
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
# jobs plays at once: each takes a core.
jobs=6
play() {
  local name=$1 place=$2 entry=$3
  printf 'name = "%s"\nslot = "trouble"\nseed = 4711\n%s = [ %s ]\n' "$name" "$place" "$entry" >"$out/$name.toml"
  "$bench" run "$site" "$out/$name.toml" --why "one kind of trouble alone: $name" >"$out/$name.txt" 2>&1 || true
  printf '%-26s %s %s\n' "$name" "$(grep -A1 '^day ' "$out/$name.txt" | tail -n 1 | awk '{print "worth", $4, "served", $5, "refused", $6, "failed", $7}')" \
    "$(grep -oE 'BROKEN.*|FAULT.*' "$out/$name.txt" | head -n 1)"
}
while read -r name place entry; do
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  while [ "$(jobs -rp | wc -l)" -ge $jobs ]; do wait -n; done
  play "$name" "$place" "$entry" &
done <scripts/platform_days.txt
wait
