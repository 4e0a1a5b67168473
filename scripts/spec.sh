#!/usr/bin/env bash
# Checks the specifications with Spin: each run of spec/runs.txt must hold
# exhaustively or give a counterexample, as the list says. With "long" as
# argument the larger sizes run too. Needs spin and gcc.
set -euo pipefail
cd "$(dirname "$0")/.."
size=${1:-ci}
megabytes=2000
seconds=300
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp spec/*.pml "$work"
cd "$work"
wrong=0
printf '%-10s %-58s %11s %7s %8s %-11s %s\n' model flags states depth seconds verdict wanted

field() { sed -n "s/$1/\\1/p" out | head -n 1; }

# check WHEN MODEL WANTED FLAGS... runs one check and prints its row.
check() {
  local when=$1 model=$2 wanted=$3 verdict
  shift 3
  rm -f pan pan.* ./*.trail
  spin -a "$@" "$model.pml" >generated 2>&1 || { cat generated; exit 1; }
  # A counterexample comes early: optimising for it costs more than it saves.
  local optimise=-O2
  [ "$wanted" = holds ] || optimise=-O1
  [ "$when" = ci ] || optimise+=' -DCOLLAPSE'
  # shellcheck disable=SC2086
  gcc $optimise -DSAFETY -DNOREDUCE -DVECTORSZ=512 -DMEMLIM=$megabytes -o pan pan.c
  timeout "$seconds" ./pan -w24 -m1000000 >out 2>&1 || true
  if grep -q 'assertion violated' out; then
    verdict=fails
  elif grep -q 'errors: 0' out && ! grep -q -e 'Search not completed' -e 'max search depth' out; then
    verdict=holds
  else
    verdict=incomplete
  fi
  [ "$verdict" = "$wanted" ] || wrong=$((wrong + 1))
  printf '%-10s %-58s %11s %7s %8s %-11s %s\n' "$model" "$*" \
    "$(field '^ *\([0-9.e+]*\) states, stored.*')" "$(field '.*depth reached \([0-9]*\),.*')" \
    "$(field '.*elapsed time \([0-9.e-]*\) seconds.*')" "$verdict" "$wanted"
}

while read -r when model wanted flags; do
  case $when in '#' | '') continue ;; esac
  if [ "$when" = long ] && [ "$size" != long ]; then continue; fi
  # shellcheck disable=SC2086
  check "$when" "$model" "$wanted" $flags
done <"$OLDPWD/spec/runs.txt"
[ "$wrong" = 0 ] || { echo "spec: $wrong runs did not end as wanted"; exit 1; }
echo "spec: every run ended as wanted"
