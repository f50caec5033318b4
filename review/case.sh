# Runs a case: case.sh PROGRAM FOLDER. Sourced by the run.sh of each case.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd) || exit 2
cd "$root" || exit 2
[ -x target/release/linnethook ] || { echo "target/release/linnethook is missing: run the build of the deploy file"; exit 2; }
if [ ! -x "target/review/$1" ] || [ "review/standins/$1.rs" -nt "target/review/$1" ] \
    || [ review/standins/common.rs -nt "target/review/$1" ]; then
    bash review/build.sh || exit 2
fi
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN_COMMAND
timeout --signal=TERM --kill-after=2 115 "target/review/$1" "$2"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
