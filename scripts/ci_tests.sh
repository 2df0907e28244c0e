#!/usr/bin/env bash
# Runs all tests; lets only those fail that KNOWN-RED.txt names, and prints them.
# An entry of KNOWN-RED.txt begins with `test: NAME`; its other lines are indented.
set -uo pipefail
cd "$(dirname "$0")/.."

OUTPUT="$(mktemp)"
trap 'rm -f "$OUTPUT"' EXIT

if ! cargo test --workspace --locked --no-run; then
  echo "ci: the build failed" >&2
  exit 1
fi
cargo test --workspace --locked --no-fail-fast 2>&1 | tee "$OUTPUT"
STATUS=${PIPESTATUS[0]}

# Names of the tests with a result, such as `ok` or `FAILED`.
tests_with() {
  sed -nE "s/^test (.+) \.\.\. .*\b$1\$/\1/p" "$OUTPUT" | sed 's/ - should panic$//' | sort -u
}

KNOWN="$(sed -nE 's/^test: ([^ ]+).*/\1/p' KNOWN-RED.txt 2>/dev/null | sort -u)"
FAILED="$( { tests_with FAILED; sed -nE 's/^    ([A-Za-z0-9_:]+)$/\1/p' "$OUTPUT"; } | sort -u)"
NEW="$(comm -23 <(echo "$FAILED") <(echo "$KNOWN") | grep -v '^$')"
RED="$(comm -12 <(echo "$FAILED") <(echo "$KNOWN") | grep -v '^$')"
MENDED="$(comm -13 <(echo "$FAILED") <(echo "$KNOWN") | grep -v '^$')"

[ -n "$RED" ] && printf 'ci: known red, failed:\n%s\n' "$RED"
[ -n "$MENDED" ] && printf 'ci: known red, but did not fail:\n%s\n' "$MENDED"
if [ -n "$NEW" ]; then
  printf 'ci: failed:\n%s\n' "$NEW"
  exit 1
fi
# A test program that dies without naming a failed test is a failure as well.
FAILED_PROGRAMS="$(grep -cE '^error: test failed|^    `.* --test |process didn.t exit successfully' "$OUTPUT")"
if [ "$STATUS" -ne 0 ] && { [ -z "$RED" ] || grep -qE 'signal: [0-9]+' "$OUTPUT"; }; then
  echo "ci: a test program failed without a failed test ($FAILED_PROGRAMS lines tell of it)"
  exit 1
fi
exit 0
