#!/usr/bin/env bash
# Runs the system with stand-in backend servers on loopback, as configured in
# examples/servicio.ini. Sends a load, drains one engine meanwhile, and stops
# all processes gracefully. The last line of output is a summary of the
# outcomes. Logs and results are kept in out/demo.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/bin
out=$PWD/out/demo
platform=127.0.0.1:7100
regions=(hall-oeste hall-este hall-norte hall-sur)
drained=tutor-lm-hall-oeste-1
stop_seconds=40

mkdir -p "$out"
rm -f "$out"/*
names=()
pids=()

# start NAME COMMAND... starts a process in the background.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  names+=("$name")
  pids+=($!)
}

# end_all kills all remaining processes after a failure or an interrupt.
end_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
}
trap end_all EXIT

fail() {
  echo "demo failed: $*; logs are in $out" >&2
  exit 1
}

# listening ADDRESS waits until a process accepts connections at the address.
listening() {
  local i
  for ((i = 0; i < 200; i++)); do
    if (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; then
      return 0
    fi
    sleep 0.05
  done
  fail "no process listens at $1"
}

# ready ADDRESS waits until /readyz of the process at the address returns 200.
ready() {
  local i status
  for ((i = 0; i < 200; i++)); do
    status=$( (
      exec 3<>"/dev/tcp/${1%:*}/${1#*:}"
      printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3
      head -n 1 <&3
    ) 2>/dev/null || true)
    if [[ $status == *" 200 "* ]]; then
      return 0
    fi
    sleep 0.1
  done
  fail "$1 is not ready"
}

# settings NAME DOMAIN HTTP_PORT PEER_PORT prints the settings that all programs
# have in common.
settings() {
  printf '[process]\nname = %s\nfailure_domain = %s\nregion = metropolitana\n' "$1" "$2"
  printf 'http_address = 127.0.0.1:%d\npeer_address = 127.0.0.1:%d\n' "$3" "$4"
  printf 'log_verbosity = 1\nplatform_url = http://%s\npeers = %s\n' "$platform" "$peers"
}

# stop FROM TO sends SIGTERM to the processes with indices FROM to TO-1 and waits
# until they have exited.
stop() {
  local i
  for ((i = $1; i < $2; i++)); do
    kill -TERM "${pids[i]}" 2>/dev/null || fail "${names[i]} exited before it was stopped"
  done
  for ((i = $1; i < $2; i++)); do
    await "$i"
  done
}

# await INDEX waits until a process exits, and fails unless its exit code is 0.
await() {
  local i code=0
  for ((i = 0; i < stop_seconds * 10; i++)); do
    kill -0 "${pids[$1]}" 2>/dev/null || break
    sleep 0.1
  done
  kill -0 "${pids[$1]}" 2>/dev/null && fail "${names[$1]} did not stop within $stop_seconds s"
  wait "${pids[$1]}" || code=$?
  ((code == 0)) || fail "${names[$1]} stopped with exit code $code"
}

# Start the stand-ins for the platform and the backend servers.
start platform "$bin/marigold-standin" platform -address "$platform"
for i in {1..12}; do
  start "engine-$i" "$bin/marigold-standin" engine -address "127.0.0.1:$((7400 + i))" \
    -model tutor-lm -model-version 2026.11 -seed "$i" -max-batch 32
done
for i in {1..4}; do
  start "service-$i" "$bin/marigold-standin" service -address "127.0.0.1:$((7450 + i))"
done
listening "$platform"
standins=${#pids[@]}

# Start the system: one agent per failure domain, and two entries.
peers=$(printf '127.0.0.1:%d, ' 7211 7212 7311 7312 7313)127.0.0.1:7314
for i in {1..4}; do
  file=$out/agent-$i.ini
  {
    settings "agent-$i" "${regions[i - 1]}" $((7320 + i)) $((7310 + i))
    printf '[agent]\nexclusive_address = 127.0.0.1:%d\n' $((7330 + i))
  } >"$file"
  start "agent-$i" "$bin/marigold-agent" -config "$file"
done
agents=${#pids[@]}
for i in 1 2; do
  file=$out/entry-$i.ini
  {
    settings "entry-$i" "${regions[i - 1]}" $((7200 + i)) $((7210 + i))
    printf '[entry]\n'
  } >"$file"
  start "entry-$i" "$bin/marigold-entry" -config "$file"
done
listening 127.0.0.1:7201
listening 127.0.0.1:7202

echo "applying examples/servicio.ini"
"$bin/marigoldctl" apply -server http://127.0.0.1:7201 -wait 15s examples/servicio.ini || fail "cannot apply the deployment"
ready 127.0.0.1:7201
ready 127.0.0.1:7202

echo "sending examples/experiment.ini"
"$bin/marigold-load" run -json "$out/result.json" -csv "$out/result.csv" -line demo \
  examples/experiment.ini >"$out/load.log" 2>&1 &
load=$!
pids+=("$load")
names+=(load)
sleep 6

echo "draining $drained under load"
sed "s/^\[backend_server $drained\]\$/&\ndrain = true/" examples/servicio.ini >"$out/drained.ini"
"$bin/marigoldctl" apply -server http://127.0.0.1:7202 -wait 15s "$out/drained.ini" || fail "cannot apply the deployment with the drained engine"

load_status=0
wait "$load" || load_status=$?
unset 'pids[-1]' 'names[-1]'
grep -v '^demo:' "$out/load.log"
"$bin/marigold-load" report -title "Demo" -o "$out/report.html" "$out/result.json"
echo "plots are in $out/report.html"

echo "stopping all processes"
stop "$agents" "${#pids[@]}"
stop "$standins" "$agents"
stop 0 "$standins"
pids=()

grep '^demo:' "$out/load.log" || fail "the load printed no summary"
exit "$load_status"
