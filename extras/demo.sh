#!/usr/bin/env bash
# Starts the demo as separate processes on loopback: a platform stand-in, two databases of three
# backend servers and three proxies. "run" plays a session and stops; "up" stays until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."

mode="${1:-run}"
work="var/demo"
platform="127.1.0.1:7300"
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
trap 'exit 130' INT TERM

start() {
  local name="$1"
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
  echo "$!" >"$work/$name.pid"
}

rm -rf "$work"
mkdir -p "$work"
export LENTILRING_SECRET="demo-secret" LENTILRING_PLATFORM_ADDRESS="$platform"

start platform lentilring-standin platform --listen "$platform" \
  --vm "vm-casa=127.1.1.1:7400,casa-a,casablanca" \
  --vm "vm-mrk=127.1.1.2:7400,mrk-a,marrakech" \
  --vm "vm-fes=127.1.1.3:7400,fes-a,fes"

start_database() {
  start "$1" lentilring-standin database --name "$1" --listen "127.1.2.$2:5400" \
    --admin "127.1.2.$2:5401" --connections "$3" --connect-delay-s "$4" \
    --statement-time-s 0.002 --replication-lag-s 0.05 --term 0
}
for index in 1 2 3; do start_database "tents-$index" "$index" 15 0.010; done
for index in 1 2 3; do start_database "projects-$index" "$((index + 3))" 25 0.025; done

start_proxy() {
  start "$1" lentilring-proxy --vm "$1" --failure-domain "$2" --region "$3" \
    --http-address "127.1.1.$4:8080" --admin-address "127.1.1.$4:8081" \
    --peer-address "127.1.1.$4:7400"
}
start_proxy vm-casa casa-a casablanca 1
start_proxy vm-mrk mrk-a marrakech 2
start_proxy vm-fes fes-a fes 3

if [ "$mode" = "up" ]; then
  python extras/demo/session.py --work "$work" --only-setup
  echo "Logs are in $work. Press Ctrl-C to stop."
  wait
else
  python extras/demo/session.py --work "$work"
fi
