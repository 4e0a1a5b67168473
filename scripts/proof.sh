#!/usr/bin/env bash
# Runs the commands of docs/proof.txt, or those whose keys are given, and
# writes their results into the table of docs/PROOF.md.
set -euo pipefail
cd "$(dirname "$0")/.."
page=docs/PROOF.md
failed=0
# record KEY ROW puts a row in place of the key's old one.
record() {
  awk -v key="| $1 |" -v row="$2" '
    index($0, key) == 1 { if (!done) print row; done = 1; next }
    /<!-- results end -->/ && !done { print row }
    { print }' "$page" >"$page.new"
  mv "$page.new" "$page"
}
while read -r key command; do
  case $key in '#' | '') continue ;; esac
  if [ $# -gt 0 ] && [[ " $* " != *" $key "* ]]; then continue; fi
  began=$SECONDS result=passed
  out=$($command 2>&1) || { result='**failed**'; failed=$((failed + 1)); }
  case $out in *'no tests to run'*) result='**no such test**' ;; esac
  record "$key" "| $key | \`$command\` | $result, $((SECONDS - began)) s | $(date -u +%F) | $(git rev-parse --short HEAD) |"
  echo "$key: $result"
done <docs/proof.txt
[ "$failed" = 0 ] || { echo "proof: $failed failed"; exit 1; }
