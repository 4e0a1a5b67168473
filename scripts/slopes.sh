#!/usr/bin/env bash
# Measures the slopes and writes them into the page on capacity.
set -euo pipefail
cd "$(dirname "$0")/.."
experiments=(configuration budget_slopes calls spends commits endpoints spread spread_cost spread_outage answers budgets picker_slopes)
go run ./cmd/rattanhoist-measure run -o json "${experiments[@]}" >docs/slopes.json.new
mv docs/slopes.json.new docs/slopes.json
go run ./cmd/rattanhoist-measure capacity docs/slopes.json docs/CAPACITY.md
