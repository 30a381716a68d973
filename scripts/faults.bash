# Timed faults of ./run: checks a fault script, carries it out and checks the promises
# that only the processes' logs and the stand-ins' counters show. Sourced by ./run, which
# provides example, output, programs, duration, pids, logs and start_router.
# shellcheck disable=SC2154

# Work that reaches a failure domain later than this after its removal is a violation (I3).
readonly domain_out_grace_s=3

fault_times=() fault_actions=() fault_arguments=()
fault_violations=0
planned_stops=0 cut_requests=0 longest_stop_ms=0
config_service_up=yes domains_out='' domains_out_check_ms='' domains_out_before='' work_in_domains_out=0

# Reports a violated promise; ./run then ends with an error.
violation() {
  echo "violation: $1"
  fault_violations=$((fault_violations + 1))
}

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }

# Converts seconds with an optional fraction to milliseconds.
to_ms() { awk -v seconds="$1" 'BEGIN {printf "%d", seconds * 1000 + 0.5}'; }

# Prints the reason why a router in a state can't take an action, or nothing.
router_action_problem() {
  case $2:$1 in
    kill:killed | stop:killed | cont:killed) echo "the router has been killed before" ;;
    stop:stopped | replace:stopped) echo "the router is stopped at that time" ;;
    cont:running) echo "the router is not stopped at that time" ;;
  esac
}

# Prints the reason why an argument doesn't fit an action, or nothing.
argument_problem() {
  local action=$1 argument=$2 folder=$3 id
  case $action in
    kill | stop | cont | replace)
      [ -f "$example/$argument.toml" ] && [[ $argument == router-* ]] || echo "there is no router \"$argument\""
      ;;
    publish)
      [ -f "$folder/$argument" ] || { echo "there is no sheet \"$argument\"" && return; }
      "$programs/geranium_ctl/geranium_ctl" check "$folder/$argument" >/dev/null || echo "sheet \"$argument\" has errors"
      ;;
    admin)
      [[ $argument =~ ^/admin/([a-z0-9.-]+)/[a-z_/]+([?][a-z0-9=\&]+)?$ ]] ||
        { echo "\"$argument\" is not of the form /admin/<id>/<action>" && return; }
      id=${BASH_REMATCH[1]}
      [[ $id =~ ^(config|instances|weights)$ ]] || grep -qxF "id = \"$id\"" "$example/platform.toml" ||
        echo "there is no stand-in \"$id\""
      ;;
    *) echo "unknown action \"$action\" (kill, stop, cont, replace, publish or admin)" ;;
  esac
}

# Reads a fault script and fails with file, line and reason of every error.
read_faults() {
  local file=$1 folder line_number=0 errors=0 previous=0 time action argument rest problem
  local -A state=()
  folder=$(dirname "$file")
  while read -r time action argument rest || [ -n "$time" ]; do
    line_number=$((line_number + 1))
    [[ -z $time || $time == \#* ]] && continue
    problem=''
    if ! [[ $time =~ ^[0-9]{1,5}(\.[0-9]{1,3})?$ ]]; then
      problem="\"$time\" is not a time in seconds"
    elif (($(to_ms "$time") < previous)); then
      problem="the time is before that of the line above"
    elif (($(to_ms "$time") >= $(to_ms "$duration"))); then
      problem="the time is not before the end of the run (--duration $duration)"
    elif [ -z "$argument" ] || [ -n "$rest" ]; then
      problem="expected <seconds> <action> <argument>"
    else
      problem=$(argument_problem "$action" "$argument" "$folder")
      [ -n "$problem" ] || problem=$(router_action_problem "${state[$argument]:-running}" "$action")
    fi
    if [ -n "$problem" ]; then
      echo "$file:$line_number: $problem" >&2
      errors=$((errors + 1))
      continue
    fi
    previous=$(to_ms "$time")
    case $action in
      kill) state[$argument]=killed ;;
      stop) state[$argument]=stopped ;;
      cont | replace) state[$argument]=running ;;
      publish) argument=$folder/$argument ;;
    esac
    fault_times+=("$previous") fault_actions+=("$action") fault_arguments+=("$argument")
  done <"$file"
  ((errors == 0)) || fail "the fault script has errors" 2
}

# Sends a request to the stand-ins' admin endpoint and prints the whole answer.
admin_request() {
  local port
  port=$(sed -n '/^\[admin\]/,/^port/s/^port = //p' "$example/platform.toml")
  { exec 4<>"/dev/tcp/127.0.0.1/$port"; } 2>/dev/null || return 1
  printf '%s %s HTTP/1.1\r\nHost: localhost\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' "$1" "$2" >&4
  timeout 5 cat <&4 || true
  exec 4>&-
}

# Prints the stop deadline of the sheet in force, in milliseconds.
stop_deadline_ms() {
  awk -F, '$1 == "setting" && $2 == "stop_deadline" {
      for (i = 3; i <= NF; i++) if ($i ~ /^[0-9.]+ *(ms|s|min|h)$/) value = $i }
    END { if (value == "") value = "2min"
      unit = value; sub(/^[0-9.]+ */, "", unit)
      factor["ms"] = 1; factor["s"] = 1000; factor["min"] = 60000; factor["h"] = 3600000
      printf "%d", (value + 0) * factor[unit] }' "$sheet"
}

# Stops a router gracefully and checks its deadline and the requests that it cut.
stop_gracefully() {
  local name=$1 pid=${pids[$1]} started elapsed cut
  started=$(now_ms)
  kill -TERM "$pid"
  while kill -0 "$pid" 2>/dev/null; do
    if (($(now_ms) - started > $(stop_deadline_ms) + 1000)); then
      violation "$name did not leave within its stop deadline"
      kill -KILL "$pid"
      break
    fi
    sleep 0.05
  done
  wait "$pid" 2>/dev/null || true
  elapsed=$(($(now_ms) - started))
  planned_stops=$((planned_stops + 1))
  ((elapsed <= longest_stop_ms)) || longest_stop_ms=$elapsed
  cut=$(sed -n '/router_stopped/s/.*"cut_requests": *"\{0,1\}\([0-9]*\).*/\1/p' "${logs[$name]}")
  if [ -z "$cut" ]; then
    violation "the log of $name has no router_stopped"
  else
    cut_requests=$((cut_requests + cut))
    ((cut == 0)) || violation "$name cut $cut requests"
  fi
  echo "stopped: $name after $elapsed ms, cut_requests ${cut:-unknown}"
}

replace_router() {
  [ -z "${pids[$1]:-}" ] || stop_gracefully "$1"
  start_router "$1"
}

kill_router() {
  kill -KILL "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

# Prints the ids of the upstreams of a failure domain.
upstreams_of_domain() {
  awk -v domain="\"$1\"" '/^\[/ {upstream = /engine\]|service\]/} $1 == "id" {id = $3}
    upstream && $1 == "failure_domain" && $3 == domain {gsub(/"/, "", id); print id}' "$example/platform.toml"
}

# Prints the requests that the upstreams of the failure domains out of service have begun.
requests_in_domains_out() {
  local domain id total=0 count
  for domain in $domains_out; do
    while read -r id; do
      count=$(admin_request GET "/admin/$id/stats?brief=1" | sed -n 's/.*"requests": *\([0-9]*\).*/\1/p')
      [ -n "$count" ] || return 1
      total=$((total + count))
    done < <(upstreams_of_domain "$domain")
  done
  echo "$total"
}

# Takes the first reading for the domains that are out of service.
begin_domain_check() {
  domains_out_check_ms=''
  domains_out_before=$(requests_in_domains_out) || violation "the counters of $domains_out can't be read"
}

# Compares the work in the domains out of service with the first reading.
end_domain_check() {
  local after
  [ -n "$domains_out_before" ] || return 0
  after=$(requests_in_domains_out) || violation "the counters of $domains_out can't be read"
  work_in_domains_out=$((work_in_domains_out + after - domains_out_before))
  ((after == domains_out_before)) || violation "$((after - domains_out_before)) requests reached $domains_out"
  domains_out_before=''
}

publish_sheet() {
  end_domain_check
  sheet=$1 version=$((version + 1))
  "$programs/geranium_ctl/geranium_ctl" compile "$sheet" --version "$version" --out "$output/config" >/dev/null ||
    violation "$sheet was not compiled"
  domains_out=$(awk -F, '$1 == "failure_domain" && /,out,/ {print $2}' "$sheet" | paste -sd ' ' -)
  domains_out_check_ms=''
  [ "$config_service_up" = no ] || plan_domain_check
}

# Plans the first reading for the domains out of service. The grace starts when the
# configuration service hands out the sheet.
plan_domain_check() {
  [ -z "$domains_out" ] || domains_out_check_ms=$(($(now_ms) + domain_out_grace_s * 1000))
}

send_admin_action() {
  [[ $(admin_request POST "$1" | head -n 1) == *" 200 "* ]] || violation "POST $1 was refused"
  case $1 in
    /admin/config/up)
      config_service_up=yes
      [ -n "$domains_out_before" ] || plan_domain_check
      ;;
    /admin/config/*) config_service_up=no ;;
  esac
}

sleep_until() {
  local rest
  rest=$(($1 - $(now_ms)))
  ((rest <= 0)) || sleep "$(printf '%d.%03d' $((rest / 1000)) $((rest % 1000)))"
}

# Waits for a time and takes the reading of the domain check when it is due before.
wait_until() {
  if [ -n "$domains_out_check_ms" ] && ((domains_out_check_ms <= $1)); then
    sleep_until "$domains_out_check_ms"
    begin_domain_check
  fi
  sleep_until "$1"
}

run_action() {
  case $1 in
    kill) kill_router "$2" ;;
    stop) kill -STOP "${pids[$2]}" ;;
    cont) kill -CONT "${pids[$2]}" ;;
    replace) replace_router "$2" ;;
    publish) publish_sheet "$2" ;;
    admin) send_admin_action "$2" ;;
  esac
}

# Carries out the fault script; its times count from the call.
run_faults() {
  local started index
  started=$(now_ms)
  for index in "${!fault_times[@]}"; do
    wait_until $((started + fault_times[index]))
    printf 'fault: %s ms %s %s\n' $(($(now_ms) - started)) "${fault_actions[index]}" "${fault_arguments[index]}"
    run_action "${fault_actions[index]}" "${fault_arguments[index]}"
  done
  wait_until $((started + $(to_ms "$duration")))
}

# Prints the figures of the fault script; fails when a promise was violated.
report_faults() {
  local name
  end_domain_check
  for name in "${!pids[@]}"; do
    kill -0 "${pids[$name]}" 2>/dev/null || violation "$name stopped by itself"
  done
  echo "planned_stops: $planned_stops cut_requests $cut_requests longest_stop_ms $longest_stop_ms"
  echo "work_in_domains_out: $work_in_domains_out"
  echo "fault_violations: $fault_violations"
  ((fault_violations == 0))
}
