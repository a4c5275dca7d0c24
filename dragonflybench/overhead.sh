#!/usr/bin/env bash
# Measures what an entry and an agent add to the times of a stand-in engine, each
# in a process of its own, and writes the result to the file $1. Takes a minute.
set -euo pipefail
out=$(cd "$(dirname "$1")" && pwd)/$(basename "$1")
cd "$(dirname "$0")"
work=$(mktemp -d)
pids=()
# Ends the processes of this run, by their ids.
finish() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait; rm -rf "$work"; }
trap finish EXIT
go build -o "$work/bench" .
part() {
  "$work/bench" slopes "$@" --out "$work/$1-${#pids[@]}.jsonl" 2>"$work/$1-${#pids[@]}.log" &
  pids+=($!)
}
for i in 0 1 2; do part control --first "$i" --sizes 1 --data "$work/data"; done
"$work/bench" slopes configure --group-size 1
part upstreams --sizes 1
part agents --sizes 1 --control-port 10000
part entries --sizes 1 --control-port 10000
sleep 6
"$work/bench" overhead --direct http://127.0.0.1:13000 --through http://127.0.0.1:14000 --key measurement-workspace --out "$out"
