#!/usr/bin/env bash
# Runs one soak test with many seeds, each in a process of its own. Large sites, of seeds
# that end in 0 or 9, run last and one at a time.
#
#   tools/soak-seeds.sh PACKAGE TEST [SEEDS [JOBS]]
#
# SEEDS is a number of random seeds or a quoted list such as "=1 2 3"; JOBS is how many
# small sites run at once. It prints one line for each seed, with its result, its time, the
# largest load average and the least available memory meanwhile. It keeps the logs of
# failed seeds, and fails if one has failed.
set -euo pipefail
cd "$(dirname "$0")/.."
package=$1 test=$2 seeds=${3:-50} jobs=${4:-2}
logs=${SOAK_LOGS:-$(mktemp -d -t soak-XXXXXX)}
mkdir -p "$logs"
if [[ $seeds == =* ]]; then
	list=${seeds#=}
else
	list=$(for ((n = 0; n < seeds; n++)); do od -An -N8 -tu8 /dev/urandom | tr -d ' '; done)
fi
export binary=$logs/soak.test logs test
make build >/dev/null
go test -c -o "$binary" "$package"
cd "$package"

# A listener finds no free port while most ephemeral ones belong to closed connections,
# for a minute after their end.
wait_for_ports() {
	local first last
	read -r first last </proc/sys/net/ipv4/ip_local_port_range
	while (($(awk '/^TCP:/ {print $7}' /proc/net/sockstat) > 2 * (last - first))); do
		sleep 2
	done
}
export -f wait_for_ports

run_seed() {
	wait_for_ports
	local seed=$1 log=$logs/$1.log began=$SECONDS pid load=0 memory= value result=ok
	SEED=$seed "$binary" -test.count 1 -test.v -test.run "^$test\$" >"$log" 2>&1 &
	pid=$!
	while kill -0 "$pid" 2>/dev/null; do
		read -r value _ </proc/loadavg
		load=$(printf '%s\n' "$load" "$value" | sort -g | tail -n 1)
		value=$(awk '/^MemAvailable/ {print int($2 / 1024)}' /proc/meminfo)
		memory=$(printf '%s\n' ${memory:+"$memory"} "$value" | sort -n | head -n 1)
		sleep 1
	done
	wait "$pid" || result=FAILED
	echo "$result SEED=$seed $((SECONDS - began)) s, load up to $load, $memory MB available:$(grep -m 1 -o '[^:]*processes, .*' "$log" || true)"
	if [[ $result == ok ]]; then
		rm "$log"
		return
	fi
	echo "$log" >>"$logs/failed"
}
export -f run_seed

small=() large=()
for seed in $list; do
	if [[ $seed == *[09] ]]; then large+=("$seed"); else small+=("$seed"); fi
done
printf '%s\n' "${small[@]}" | xargs -r -P "$jobs" -I{} bash -c 'run_seed {}'
printf '%s\n' "${large[@]}" | xargs -r -P 1 -I{} bash -c 'run_seed {}'
rm "$binary"
if [[ -e $logs/failed ]]; then
	echo "$(wc -l <"$logs/failed") seeds failed; logs:"
	cat "$logs/failed"
	exit 1
fi
