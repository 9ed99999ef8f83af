#!/bin/sh
# Checks each model, and that the checker finds an error in each of its mutations.
set -u
cd "$(dirname "$0")" || exit 1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# Arguments: model, and a mutation or "none".
check() {
  flags=""
  [ "$2" = none ] || flags="-D$2"
  rm -f "$work"/pan*
  cp "$1.pml" "$work/" && cd "$work" || exit 1
  # shellcheck disable=SC2086
  spin -a $flags "$1.pml" >spin.log 2>&1 &&
    gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=6000 $flags -o pan pan.c 2>gcc.log &&
    timeout 120 ./pan -E -m1000000 -w24 >pan.log 2>&1
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log | tail -n 1)
  states=$(sed -n 's/ *\([0-9]*\) states, stored.*/\1/p' pan.log)
  truncated=$(grep -c 'max search depth too small\|reached -DMEMLIM' pan.log)
  cd - >/dev/null || exit 1
  expected=0
  [ "$2" = none ] || expected=1
  if [ "${errors:-x}" = "$expected" ] && { [ "$2" != none ] || [ "$truncated" = 0 ]; }; then
    passed=$((passed + 1)); verdict=ok
  else
    failed=$((failed + 1)); verdict=FAILED
  fi
  echo "$verdict model $1 mutation $2: errors ${errors:-none}, states ${states:-none}"
}

for mutation in none NO_SYNC MINORITY FORGET_VOTE STALE_VOTE; do check log $mutation; done
for mutation in none FROM_REPLY EARLY_EXPIRY NO_FENCING LOST_CHECKPOINT; do check lease $mutation; done
for mutation in none NO_LOOKUP RERUN_UNKNOWN RUN_WITHOUT_INTENT LATE_RUN; do check ledger $mutation; done
for mutation in none LAST_WINS NO_LEASE LEASE_FROM_REPLY REVERTS; do check ticket $mutation; done
for mutation in none REMOVE_FIRST; do check membership $mutation; done
echo "models: $passed passed, $failed failed"
[ "$failed" = 0 ]
