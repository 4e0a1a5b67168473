#!/usr/bin/env bash
# Plays days of one site with each mechanism of ablations.ini switched off, and
# prints a table of worth: the quiet days' mean and that of the others. The first
# row, 'none', has everything on and is played twice: the difference is noise.
# Usage: ablate.sh BENCH SITE SEEDS [NAME ...], with SEEDS as "0 11"; 0 is the
# site's own. DAYS names other days than the standard ones. The journal entries of
# the bench go to journal/.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 seeds=$3
shift 3
# jobs plays at once: each takes a core.
jobs=${JOBS:-6}
days=${DAYS:-quiet-1 trouble-1 scale-1 trouble-2 scale-2 trouble-3}
copy=$(mktemp -d)
trap 'git worktree remove --force "$copy/tree"; rm -rf "$copy"' EXIT
git worktree add --quiet --detach "$copy/tree" HEAD
cp -r journal/. "$copy/tree/journal/"

value() { awk -v section="[$1]" -v key="$2 = " '$0 == section {on = 1; next} /^\[/ {on = 0} on && index($0, key) == 1 {print substr($0, length(key) + 1)}' "$copy/tree/scripts/ablations.ini"; }

# switch NAME takes a mechanism out of the copy.
switch() {
  git -C "$copy/tree" checkout --quiet -- .
  [ "$1" = none ] && return
  file=$(value "$1" file) old=$(value "$1" old) new=$(value "$1" new) perl -0pi -e \
    's/\Q$ENV{old}\E/$ENV{new}/ or die "$ENV{file}: the text to replace is gone\n"' "$copy/tree/$(value "$1" file)"
}

# play ROUND NAME writes one line for each day: day, worth, served.
play() {
  local name=$2 out="$copy/$1"
  mkdir -p "$out"
  (cd "$copy/tree" && "$bench" build >"$out/build" 2>&1) || { cat "$out/build"; return 1; }
  local d s extra
  for d in $days; do
    for s in $seeds; do
      while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n; done
      extra=()
      [ "$s" = 0 ] || extra=(--seed "$s")
      (cd "$copy/tree" && "$bench" run "$site" "$d" "${extra[@]}" --jobs 1 --why "ablation: without $name" >"$out/$d-$s" 2>&1) || true &
    done
  done
  wait
}

# row ROUND NAME prints the means of a round.
row() {
  local out="$copy/$1" d s
  for d in $days; do
    for s in $seeds; do
      awk -v day="$d" -v seed="$s" '$1 == day && $2 ~ /\// {broken = 0; w = $4; v = $5; n++} /BROKEN|FAULT/ {broken = 1} END {print day, seed, (n ? w : "nan"), (n ? v : "nan"), broken + 0}' "$out/$d-$s"
    done
  done | awk -v name="$2" '
    $3 == "nan" {lost++; next}
    {broken += $5}
    $1 ~ /^quiet/ {q += $3; nq++; next}
    {t += $3; s += $4; nt++}
    END {printf "%-18s %7.4f %7.4f %7.4f %6d %4d\n", name, nq ? q / nq : 0, nt ? t / nt : 0, nt ? s / nt : 0, broken, lost}'
}

printf '%-18s %7s %7s %7s %6s %4s\n' without quiet trouble served broken lost
names=("$@")
[ $# -gt 0 ] || mapfile -t names < <(sed -n 's/^\[\(.*\)\]$/\1/p' scripts/ablations.ini)
n=0
for name in none none "${names[@]}"; do
  n=$((n + 1))
  switch "$name"
  play "$n" "$name"
  row "$n" "$name"
done
cp -rn "$copy/tree/journal/." journal/
