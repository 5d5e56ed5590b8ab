# Functions that start the platform stand-in, the databases of the road association
# and instances as separate processes. Sourced by the demo and the benchmarks.

free_base() { # prints the first of 300 ports that seem to be unused
  local candidate
  while candidate=$((20000 + RANDOM % 40 * 300)); do
    (: <"/dev/tcp/127.0.0.1/$candidate") 2>/dev/null || break
  done
  echo "$candidate"
}
base=${BASE_PORT:-$(free_base)}
bin=$(pwd)/bin
work=${WORK_DIR:-$(mktemp -d)}
pids=()
domains=(jylland fyn sjaelland bornholm)
databases=${DATABASES:-3}
connections=${CONNECTIONS:-35}
slots=${SLOTS:-2}
connect_delay=${CONNECT_DELAY:-12ms}
service_time=${SERVICE_TIME:-1ms}
apply_lag=${APPLY_LAG:-5ms}
platform_address=127.0.0.1:$base
export SASSAFRASSHUNT_OPERATOR_KEY_FILE=$work/operator.key

start() { # start NAME COMMAND...: runs a process in the background and stores its id
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids+=($!)
  declare -g "pid_${name//-/_}=$!"
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    disown "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

kill_process() { # kill_process NAME: sends SIGKILL, without a message of the shell
  disown "$(pid_of "$1")" 2>/dev/null || true
  kill -KILL "$(pid_of "$1")"
}

pid_of() { # pid_of NAME: prints the process id
  local variable="pid_${1//-/_}"
  echo "${!variable}"
}

member_port() { echo $((base + 100 + $1 * 20 + $2)); }
status_port() { echo $((base + 110 + $1 * 20 + $2)); }
caller_address() { echo "127.0.0.1:$((base + 10 + $1 * 4))"; }
peer_address() { echo "127.0.0.1:$((base + 11 + $1 * 4))"; }
admin_address() { echo "127.0.0.1:$((base + 12 + $1 * 4))"; }

member_peers() { # member_peers DATABASE: the status addresses of the group
  local m peers=""
  for m in 0 1 2; do peers+="notices-$1-$m=127.0.0.1:$(status_port "$1" "$m"),"; done
  echo "${peers%,}"
}

start_member() { # start_member DATABASE MEMBER: a restarted member reads its earlier data file
  local d=$1 m=$2 role=(-role replica -follow "notices-$1-0")
  [ "$m" = 0 ] && role=(-role primary)
  start "notices-$d-$m" "$bin/standin-member" -member "notices-$d-$m" \
    -listen "127.0.0.1:$(member_port "$d" "$m")" -status "127.0.0.1:$(status_port "$d" "$m")" \
    -peers "$(member_peers "$d")" "${role[@]}" -slots "$slots" -service-time "$service_time" \
    -connect-delay "$connect_delay" -max-connections "$connections" -apply-lag "$apply_lag" \
    -data "$work/notices-$d-$m.data" -record "$work/notices-$d-$m.records"
}

start_database() { # start_database N
  local m
  for m in 0 1 2; do start_member "$1" "$m"; done
}

start_instance() { # start_instance N
  local i=$1
  cat >"$work/instance-$i.toml" <<TOML
[instance]
domain = "${domains[$((i % 4))]}"
[listen]
callers = "$(caller_address "$i")"
peers = "$(peer_address "$i")"
admin = "$(admin_address "$i")"
[platform]
address = "$platform_address"
[admin]
operator_key_sha256 = "$(printf %s operator-key | sha256sum | cut -d' ' -f1)"
${EXTRA_SETTINGS:-}
TOML
  start "instance-$i" "$bin/sassafrasshunt" run -settings "$work/instance-$i.toml"
}

database_json() { # database_json N
  local d=$1 m members=""
  for m in 0 1 2; do
    members+="{\"id\":\"notices-$d-$m\",\"address\":\"127.0.0.1:$(member_port "$d" "$m")\","
    members+="\"status_address\":\"127.0.0.1:$(status_port "$d" "$m")\",\"domain\":\"${domains[$m]}\",\"slots\":$slots},"
  done
  echo "{\"op\":\"put_database\",\"args\":{\"name\":\"notices-$d\",\"connections\":$connections,\"members\":[${members%,}]}}"
}

account_json() { # account_json NAME WEIGHT RATE BURST
  echo "{\"op\":\"put_account\",\"args\":{\"name\":\"$1\",\"weight\":$2,\"rate\":$3,\"burst\":$4}}"
}

entry_json() { # entry_json NAME ACCOUNT DATABASE CLASS MAX_AGE_MS [DEADLINE_MS]
  echo "{\"op\":\"put_entry\",\"args\":{\"name\":\"$1\",\"owner\":\"roads\",\"account\":\"$2\",\"database\":\"$3\",\"class\":\"$4\",\"max_age_ms\":$5,\"deadline_ms\":${6:-8000}}}"
}

write_catalogue() { # writes the first edit: databases, accounts and entries
  local d edits=""
  for ((d = 0; d < databases; d++)); do edits+="$(database_json "$d"),"; done
  edits+="$(account_json inspectors 4 4000 4000),$(account_json landowners 1 4000 4000),"
  for ((d = 0; d < databases; d++)); do
    edits+="$(entry_json "hazards-$d" inspectors "notices-$d" urgent 1000),"
    edits+="$(entry_json "status-$d" landowners "notices-$d" browse 5000),"
  done
  echo "[${edits%,}]" >"$work/edits.json"
}

give_key() { # give_key ACCOUNT: prints a new key
  "$bin/sassafrasshuntctl" keys give -address "$(admin_address 0)" -account "$1" | sed -n '/^key id /d; s/^key //p'
}

await() { # await SECONDS COMMAND...: repeats a command until it succeeds
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || { echo "timed out: $*" >&2; return 1; }
    sleep 0.05
  done
}

ready() { "$bin/sassafrasshuntctl" ready -address "$(admin_address "$1")"; }

primary_of() { # primary_of DATABASE: prints the primary that instance 0 reports as healthy
  "$bin/sassafrasshuntctl" status -address "$(admin_address 0)" | sed -n "s/^database notices-$1: healthy, .*primary \(.*\)$/\1/p"
}

start_fleet() { # start_fleet INSTANCES
  local i d
  printf %s operator-key >"$work/operator.key"
  start platform "$bin/standin-platform" -listen "$platform_address"
  for ((d = 0; d < databases; d++)); do start_database "$d"; done
  for ((i = 0; i < $1; i++)); do start_instance "$i"; done
  write_catalogue
  await 10 "$bin/sassafrasshuntctl" catalogue edit -address "$(admin_address 0)" -file "$work/edits.json"
  inspectors_key=$(give_key inspectors)
  for ((i = 0; i < $1; i++)); do await 15 ready "$i"; done
}
