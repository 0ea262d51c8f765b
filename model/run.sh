#!/bin/sh
# Searches the Promela specification with Spin and prints one line a run. Exit status 0 only when
# every search ends and finds what is expected of it.
#   run.sh              all runs
#   run.sh one ARGS     one run: expectation, kind, part, switches
set -u
here=$(cd "$(dirname "$0")" && pwd)

one() {
	want=$1 kind=$2 part=$3
	shift 3
	dir=$(mktemp -d)
	trap 'rm -rf "$dir"' EXIT
	cd "$dir" || exit 1
	case $kind in
	safety) build=-DSAFETY search= ;;
	progress) build=-DNFAIR=6 search='-a -f' ; set -- "$@" -DLIVE ;;
	esac
	# Compiling takes longer than a search that ends at a mistake.
	case $want in
	holds) level=-O1 ;;
	*) level=-O0 ;;
	esac
	if ! spin -a "$@" "$here/$part.pml" >spin.out 2>&1 || ! gcc $level -w $build -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c; then
		echo "$part $kind $*: FAILED to build"; cat spin.out; exit 1
	fi
	timeout 150 ./pan $search -m1000000 >out 2>&1
	status=$?
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' out)
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out)
	depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' out)
	memory=$(sed -n 's/^ *\([0-9.]*\)\ttotal actual memory usage.*/\1/p' out)
	seconds=$(sed -n 's/.*elapsed time \([0-9.e+-]*\) seconds.*/\1/p' out)
	found=$(grep -m1 -oE 'assertion violated.*|acceptance cycle' out)
	verdict=FAILED
	if grep -qE 'max search depth too small|memory exceeded|out of memory' out || [ $status -ge 124 ] || [ -z "$errors" ]; then
		verdict="FAILED, truncated"
	elif [ "$want" = holds ] && [ "$errors" = 0 ] && ! grep -q 'Search not completed' out; then
		verdict=holds
	elif [ "$want" != holds ] && [ -n "$found" ]; then
		verdict="$want: $found"
	fi
	echo "$part $kind ${*:--}: states ${states:-?} depth ${depth:-?} memory ${memory:-?} MB time ${seconds:-?} s: $verdict"
	case $verdict in FAILED*) exit 1 ;; esac
}

if [ "${1:-}" = one ]; then
	shift
	one "$@"
	exit 0
fi
# "holds": no error; "violated": a deliberate mistake is found; "known": a flaw of the design page or of
# the rule that the code uses is shown.
sed -e '/^#/d' -e '/^$/d' "$here/runs.txt" | xargs -P 5 -L 1 sh "$0" one
