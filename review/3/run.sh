#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../target/zinniashore ] || { echo 'build first' >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec timeout -k 2 110 ../bin/standin -program ../../target/zinniashore -record record.txt -trouble=$trouble frozen
