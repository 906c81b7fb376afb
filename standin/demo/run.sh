#!/bin/bash
# Runs a complete deployment on loopback addresses: a simulated platform (the
# key-value service), endpoints of four services, four hosts, and callers whose
# packets are sprayed over the hosts. Exits non-zero if an invariant is violated.
#
#   run.sh [--faults] [--pause] [--keep]
#
#   --faults  while requests run: drains an endpoint of two services, restarts a
#             host, kills another, rolls out a bundle, slows down an endpoint,
#             and drops the packets of a connection; one host runs throughout
#             without reaching the platform
#   --pause   like --faults, and also pauses a host for 3 seconds
#   --keep    keeps the directory with logs and dumps even on success
#
#   TG_DEMO_PORT     first of ten ports used on 127.0.0.0/8 (17000)
#   TG_DEMO_SEED     seed of all random choices (1)
#   TG_DEMO_BIN      directory with the binaries (bin)
#   TG_DEMO_BROKEN   limit on flows broken by unplanned faults (5)
#   TG_DEMO_UNKNOWN  limit on requests with an unknown outcome (5)
#   TG_DEMO_CALLER   additional arguments for tg-caller, such as "--rate 500"
set -euo pipefail
cd "$(dirname "$0")/../.."

bin=${TG_DEMO_BIN:-$PWD/bin}
base=${TG_DEMO_PORT:-17000}
seed=${TG_DEMO_SEED:-1}
broken_limit=${TG_DEMO_BROKEN:-5}
unknown_limit=${TG_DEMO_UNKNOWN:-5}
faults=false
pause=false
keep=false
for argument in "$@"; do
  case $argument in
    --faults) faults=true ;;
    --pause) faults=true; pause=true ;;
    --keep) keep=true ;;
    *) echo "run.sh: unknown argument $argument" >&2; exit 2 ;;
  esac
done

hosts=(mu-1 mu-2 mu-3 mu-4)
domains=(port-louis curepipe mahebourg)
dir=$(mktemp -d "${TMPDIR:-/tmp}/toucangap-demo.XXXXXX")
# shellcheck source=standin/demo/files.sh
. standin/demo/files.sh

# The fault schedule in seconds since the callers started. It leaves enough time
# before the kill for flows broken by planned changes to be detected.
drain_at=3
stop_at=6
join_at=10
kill_at=20
rollout_at=23
slow_at=24
silence_at=25
pause_at=26
pause_seconds=3
faults_duration=33
plain_duration=10
# Seconds after which a drained endpoint must no longer get new flows; the check
# allows one more.
drain_grace=3
# Timeout in seconds of await.
await_seconds=20

declare -A pids # of running processes, by name
rolled_out=1    # version of the bundle in force

finish() {
  local status=$? name
  trap - EXIT
  if [ $status -ne 0 ] || $keep; then save_dumps; fi
  for name in "${!pids[@]}"; do
    kill -9 "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ $status -ne 0 ]; then
    echo "demo: FAILED; logs and dumps are in $dir" >&2
  elif $keep; then
    echo "demo: logs and dumps are in $dir"
  else
    rm -rf "$dir"
  fi
  exit $status
}
trap finish EXIT
trap 'exit 130' INT TERM

say() {
  echo "demo: $*"
}

fail() {
  echo "demo: $*" >&2
  exit 1
}

# start NAME COMMAND... starts a background process that logs to NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

start_host() { # NAME
  start "$1" "$bin/toucangapd" --settings "$dir/$1.toml"
}

# is_running NAME reports whether a process is running.
is_running() {
  kill -0 "${pids[$1]}" 2>/dev/null
}

# http_request METHOD ADDRESS PATH [BODY] sends an HTTP request and prints the
# response body; it fails unless the status is 2xx.
http_request() {
  local address=${2%:*} port=${2#*:} body=${4:-} status line
  exec 3<>"/dev/tcp/$address/$port" || return 1
  printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "$2" "${#body}" "$body" >&3
  IFS=' ' read -r _ status _ <&3 || status=0
  while IFS= read -r line <&3 && [ "${line%$'\r'}" != "" ]; do :; done
  cat <&3
  exec 3>&-
  [[ $status == 2* ]]
}

save_dumps() {
  local i
  http_request GET "$caller_dump" /standin/dump >"$dir/dump-caller.json" 2>/dev/null || true
  for i in "${!hosts[@]}"; do
    http_request GET "$(admin_address $((i + 1)))" /v1/dump >"$dir/dump-${hosts[$i]}.json" 2>/dev/null || true
  done
  http_request GET "$endpoints_control" /standin/dump >"$dir/dump-endpoints.json" 2>/dev/null || true
}

# await WHAT COMMAND... retries a command until it succeeds, and fails the
# demonstration with WHAT after await_seconds.
await() {
  local what=$1 end=$((SECONDS + await_seconds))
  shift
  until "$@" 2>/dev/null; do
    [ $SECONDS -lt $end ] || fail "$what: timed out after $await_seconds s"
    sleep 0.2
  done
}

host_ready() { # NUMBER
  local status
  is_running "${hosts[$(($1 - 1))]}" || fail "${hosts[$(($1 - 1))]} exited: $(tail -n 5 "$dir/${hosts[$(($1 - 1))]}.log")"
  status=$(http_request GET "$(admin_address "$1")" /v1/status) || return 1
  [[ $status =~ \"state\":\ *\"live\" && $status =~ \"bundle_version\":\ *[1-9] ]] || return 1
  # In the status, the list of hosts comes after the host's own state.
  [ "$(grep -o '"state": *"live"' <<<"${status#*\"hosts\"}" | wc -l)" -eq "$(running_hosts)" ]
}

running_hosts() {
  local name n=0
  for name in "${hosts[@]}"; do
    if [ -n "${pids[$name]:-}" ]; then n=$((n + 1)); fi
  done
  echo $n
}

hosts_ready() {
  local i
  for i in "${!hosts[@]}"; do
    if [ -n "${pids[${hosts[$i]}]:-}" ]; then await "${hosts[$i]}" host_ready $((i + 1)); fi
  done
}

endpoints_ready() {
  is_running endpoints || fail "tg-endpoint exited: $(tail -n 5 "$dir/endpoints.log")"
  http_request GET "$endpoints_control" "/standin/dump?runs=0" >/dev/null
}

drain() { # HOST_NUMBER SERVICE ENDPOINT
  "$bin/toucangap" --host "$(admin_address "$1")" drain "$2" "$3"
}

# stop NUMBER shuts a host down gracefully.
stop() {
  local name=${hosts[$(($1 - 1))]} status=0
  kill -TERM "${pids[$name]}"
  await "shutdown of $name" not is_running "$name"
  wait "${pids[$name]}" || status=$?
  unset "pids[$name]"
  [ $status -eq 0 ] || fail "$name: graceful shutdown exited with status $status"
}

not() {
  ! "$@"
}

# kill_host NUMBER kills a host with SIGKILL.
kill_host() {
  local name=${hosts[$(($1 - 1))]}
  kill -9 "${pids[$name]}"
  wait "${pids[$name]}" 2>/dev/null || true
  unset "pids[$name]"
}

# wait_until SECONDS waits until that many seconds after the callers started.
wait_until() {
  while [ $((SECONDS - callers_started)) -lt "$1" ]; do
    is_running caller || fail "tg-caller exited early: $(cat "$dir/caller.log")"
    sleep 0.1
  done
}

inject_faults() {
  wait_until $drain_at
  say "draining alerts-3 and alerts-stream-3"
  drain 1 alerts alerts-3
  drain 1 alerts-stream alerts-stream-3
  wait_until $stop_at
  say "shutting mu-2 down"
  stop 2
  wait_until $join_at
  say "starting mu-2 again"
  start_host mu-2
  hosts_ready
  wait_until $kill_at
  say "killing mu-3"
  kill_host 3
  wait_until $rollout_at
  roll_out
  wait_until $slow_at
  say "slowing alerts-7 down by a factor of 10"
  command_endpoints '{"service":"alerts","endpoint":"alerts-7","verb":"slow","factor":10}'
  wait_until $silence_at
  say "dropping the packets of one caller's connection"
  command_endpoints "{\"service\":\"alerts-stream\",\"verb\":\"silence\",\"flow\":\"$silent_flow\"}"
  if $pause; then
    wait_until $pause_at
    say "pausing mu-4 for $pause_seconds s"
    kill -STOP "${pids[mu-4]}"
    wait_until $((pause_at + pause_seconds))
    kill -CONT "${pids[mu-4]}"
  fi
}

# The first connection of the first caller of alerts-stream.
silent_flow=10.0.0.121:20000

command_endpoints() { # COMMAND
  http_request POST "$endpoints_control" /standin/command "$1"
}

# operate ARGUMENTS... runs the operator command against the platform.
operate() {
  "$bin/toucangap" --platform "$platform_address" --prefix /demo/ "$@"
}

sign_bundle() { # VERSION
  "$bin/toucangap" bundle sign "$dir/bundle-$1.toml" --operator demo \
    --signing-key "$dir/demo.sign.key" --out "$dir/bundle-$1.signed"
}

# roll_out rolls out version 2 of the bundle, which doubles alerts-5's weight.
roll_out() {
  say "rolling out bundle 2"
  write_bundle "$dir/bundle-2.toml" 2 2
  sign_bundle 2
  operate bundle propose "$dir/bundle-2.signed"
  operate bundle accept 2 --replaces 1
  local accepted=$(date +%s%N)
  await "bundle 2 in force everywhere" in_force 2
  say "in force on all hosts, $host_without_platform without the platform, after $((($(date +%s%N) - accepted) / 1000000)) ms"
  rolled_out=2
}

# in_force VERSION reports whether every running host has the version.
in_force() {
  local i status
  for i in "${!hosts[@]}"; do
    if [ -z "${pids[${hosts[$i]}]:-}" ]; then continue; fi
    status=$(http_request GET "$(admin_address $((i + 1)))" /v1/status) || return 1
    [[ ${status%%\"hosts\"*} =~ \"bundle_version\":\ *$1[^0-9] ]] || return 1
  done
}

make_operator() {
  "$bin/toucangap" keys authority --dir "$dir" >/dev/null
  operator_key=$("$bin/toucangap" keys operator demo --dir "$dir" | sed -n 's/^public key //p')
}

make_operator
start platform "$bin/tg-platform" -listen "$platform_address" -seed "$seed"
write_topology "$dir/topology.toml"
write_bundle "$dir/bundle-1.toml" 1 1
sign_bundle 1
await "platform" operate bundle propose "$dir/bundle-1.signed"
operate bundle accept 1 --replaces 0
for i in "${!hosts[@]}"; do
  write_settings "$dir/${hosts[$i]}.toml" $((i + 1))
done

start endpoints "$bin/tg-endpoint" --topology "$dir/topology.toml" --seed "$seed"
for name in "${hosts[@]}"; do
  start_host "$name"
done
await "endpoints" endpoints_ready
hosts_ready
say "${#hosts[@]} hosts are ready"

arguments=(--topology "$dir/topology.toml" --seed "$seed" --dump "$caller_dump"
  --jitter 1ms --loss 0.002 --duplication 0.01 --reordering 0.01 --reorder-delay 5ms)
if $faults; then
  arguments+=(--duration "${faults_duration}s" --planned-until "${kill_at}s"
    --broken-limit "$broken_limit" --unknown-limit "$unknown_limit"
    --drained "alerts/alerts-3@$((drain_at + drain_grace + 1))s"
    --drained "alerts-stream/alerts-stream-3@$((drain_at + drain_grace + 1))s")
else
  arguments+=(--duration "${plain_duration}s")
fi
read -r -a more <<<"${TG_DEMO_CALLER:-}"
callers_started=$SECONDS
start caller "$bin/tg-caller" "${arguments[@]}" "${more[@]}"
if $faults; then inject_faults; fi
status=0
wait "${pids[caller]}" || status=$?
unset "pids[caller]"
cat "$dir/caller.log"
for name in "${!pids[@]}"; do
  is_running "$name" || fail "$name exited: $(tail -n 5 "$dir/$name.log")"
done
in_force $rolled_out || fail "bundle $rolled_out is not in force everywhere at the end"
[ $status -eq 0 ] || exit $status
say "passed in $SECONDS s"
