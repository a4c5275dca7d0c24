#!/usr/bin/env bash
# Measures the slopes of all roles and writes them to the folder $1. Takes about
# six minutes. Usage: slopes.sh FOLDER [HOLD]
set -euo pipefail
out=$(mkdir -p "$1" && cd "$1" && pwd)
hold=${2:-20s}
cd "$(dirname "$0")"
work=${KEEP:-$(mktemp -d)}
pids=()
# Ends the processes of this run, by their ids.
finish() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait; pids=(); }
trap 'finish; [ -n "${KEEP:-}" ] || rm -rf "$work"' EXIT
go build -o "$work/bench" .

# Starts one part in the background: part NAME-OF-LOG ARGUMENTS
part() {
  local log=$1
  shift
  "$work/bench" slopes "$@" 2>"$work/$log.log" &
  pids+=($!)
}
# Runs the part that changes its size; its log is shown if it fails: drive NAME-OF-LOG ARGUMENTS
drive() {
  local log=$1
  shift
  "$work/bench" slopes "$@" 2>"$work/$log.log" || { grep -v '"level":"INFO"' "$work/$log.log" | tail -n 20; return 1; }
}
# Starts control and the relays in front of it and of the agents: base COUNT
base() {
  rm -f "$work"/*.jsonl
  for i in 0 1 2; do part "control-$i" control --first "$i" --sizes 1 --name "control-$i" --data "$work/data" --out "$work/control-$i.jsonl"; done
  part reports relay --name report-bytes --port 15000 --out "$work/report-bytes.jsonl"
  part watches relay --name watch-bytes --port 15100 --out "$work/watch-bytes.jsonl"
  part heartbeats relay --name heartbeat-bytes --port 16000 --target-port 11000 --count "$1" --out "$work/heartbeat-bytes.jsonl"
  part upstreams upstreams --sizes "$1" --out "$work/upstreams.jsonl"
  sleep 2
  "$work/bench" slopes configure
  sleep 2
}
controls=("$work"/control-{0,1,2}.jsonl)

echo "== agents"
base 200
part entries entries --sizes 10 --control-port 15100 --out "$work/entries.jsonl"
drive agents agents --sizes 25,50,100,200 --hold "$hold" --advertise-port 16000 --out "$work/agents.jsonl"
finish
"$work/bench" slopes fit --driver "$work/agents.jsonl" --out "$out/agents.jsonl" \
  "$work"/{agents,entries,upstreams,report-bytes,watch-bytes,heartbeat-bytes}.jsonl "${controls[@]}"
rm -rf "$work/data"

echo "== agents while requests run, for the size of the entries' tables"
base 100
part entries entries --sizes 10 --control-port 15100 --out "$work/entries.jsonl"
cat >"$work/load.json" <<'EOF'
{"rate": 30, "duration": "10m", "answer-median": 8, "answer-max": 16, "sigma": 0.5}
EOF
"$work/bench" load --settings "$work/load.json" --base http://127.0.0.1:14000 --key measurement-workspace >"$work/load.txt" 2>"$work/load.log" &
load=$!
drive agents agents --sizes 25,50,100 --hold "$hold" --name agents-loaded --advertise-port 16000 --out "$work/agents-loaded.jsonl"
kill "$load"
wait "$load" || true
cat "$work/load.txt" "$work/load.log"
finish
"$work/bench" slopes fit --driver "$work/agents-loaded.jsonl" --out "$out/agents-loaded.jsonl" \
  "$work"/{agents-loaded,entries,report-bytes,watch-bytes}.jsonl "${controls[@]}"
rm -rf "$work/data"

echo "== entries"
base 50
part agents agents --sizes 50 --advertise-port 16000 --out "$work/agents.jsonl"
sleep 10
drive entries entries --sizes 10,20,40,80 --hold "$hold" --control-port 15100 --out "$work/entries.jsonl"
finish
"$work/bench" slopes fit --driver "$work/entries.jsonl" --out "$out/entries.jsonl" \
  "$work"/{entries,agents,report-bytes,watch-bytes}.jsonl "${controls[@]}"
rm -rf "$work/data"

echo "== one agent and one entry, each in a process of its own"
base 8
part agents agents --sizes 7 --out "$work/agents.jsonl"
part lone-agent agents --first 7 --sizes 1 --name lone-agent --out "$work/lone-agent.jsonl"
drive lone-entry entries --sizes 1 --hold "$hold" --name lone-entry --out "$work/lone-entry.jsonl"
finish
for part in lone-agent lone-entry; do
  "$work/bench" slopes fit --driver "$work/$part.jsonl" --out "$out/$part.jsonl" "$work/$part.jsonl"
done

"$work/bench" slopes table "$out"/{agents,agents-loaded,entries,lone-agent,lone-entry}.jsonl
