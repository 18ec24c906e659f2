#!/bin/sh
# Shows for each promise that its check fails when the mechanism behind it is left out.
#
# usage: chaos-weakened.sh TESTBED [CHECK...]
#
# TESTBED is a ridgeworks-testbed built with the feature `weakened`, its daemon beside it. With names of
# checks only their runs are made. Exit status 1 if a check found nothing.
set -u
testbed=$1
shift
only=$*

# check | mechanisms left out | flags of the run
cases='
order         | sequence             | --seed 1 --seconds 5 --faults none
run_history   | majority             | --seed 1 --rounds 2 --faults cut
budget        | reserve              | --seed 1 --seconds 5 --faults none
release       | context-release      | --seed 1 --seconds 5 --faults none
answers       | text-offset,whole-answer | --seed 1 --rounds 6 --faults backend-kill --clients 12
not_run       | fence                | --seed 1 --rounds 3 --faults freeze --clients 12
at_most_once  | fence,single-attempt | --seed 1 --rounds 3 --faults freeze --clients 12
leaving       | leaving              | --seed 1 --rounds 2 --faults backend-leave
planned_stop  | drain                | --seed 1 --rounds 1 --faults rolling-stop
configuration | lease                | --seed 1 --rounds 3 --faults cut
'

folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
results=$folder/results
: > "$results"
printf '%s\n' "$cases" | while IFS='|' read -r check mechanisms flags; do
  check=$(echo $check)
  mechanisms=$(echo $mechanisms)
  [ -n "$check" ] || continue
  case " ${only:-$check} " in *" $check "*) ;; *) continue ;; esac
  # shellcheck disable=SC2086
  RIDGEWORKS_WEAKENED=$mechanisms "$testbed" chaos --preset kalahari-small $flags \
    --history "$folder/$check.jsonl" > "$folder/$check.log" 2>&1 < /dev/null
  summary=$(tail -n 1 "$folder/$check.log")
  found=$(printf '%s' "$summary" | sed -n "s/.*\"$check\":\([0-9]*\).*/\1/p")
  all=$(printf '%s' "$summary" | sed -n 's/.*"violations":\([0-9]*\).*/\1/p')
  calls=$(printf '%s' "$summary" | sed -n 's/.*"calls":\([0-9]*\).*/\1/p')
  printf '%-14s %-25s %10s %8s %7s  %s\n' "$check" "$mechanisms" "${found:-failed}" "${all:-failed}" \
    "${calls:--}" "$(echo $flags)" | tee -a "$results"
  if [ -z "$found" ]; then
    tail -n 5 "$folder/$check.log" >&2
  fi
  if [ -n "${WEAKENED_LOGS:-}" ]; then
    cp "$folder/$check.log" "$folder/$check.jsonl" "$WEAKENED_LOGS/"
  fi
done

echo
printf '%-14s %-25s %10s %8s %7s  %s\n' check 'left out' violations 'all ten' calls 'run (--preset kalahari-small)'
cat "$results"
! awk '$3 == "failed" || $3 == 0 { bad = 1 } END { exit !bad }' "$results"
