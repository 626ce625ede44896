#!/usr/bin/env bash
# The whole path as separate processes on loopback: three entries with ledger
# replicas, two agents, two stand-in upstreams. Submits the example jobs, resubmits
# one at another entry, prints the answers and stops what it started.
set -eu
cd "$(dirname "$0")"
PYTHON=${PYTHON:-python}
folder=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap stop EXIT

export HAWTHORNBARROW_CLUSTER_KEY=path-cluster-key
export HAWTHORNBARROW_OPERATOR_TOKEN=path-operator
HAWTHORNBARROW_OPERATOR_TOKEN_HASHES=$(hawthornbarrow config hash-token path-operator)
export HAWTHORNBARROW_OPERATOR_TOKEN_HASHES

peer() { echo "entry-$1=127.0.0.1:$((7000 + $1)),127.0.0.1:$((6000 + $1))"; }
for n in 1 2 3; do
  hawthornbarrow ledger init --data-dir "$folder/entry-$n" --name "entry-$n" \
    --voters entry-1,entry-2,entry-3
  peers=()
  for other in 1 2 3; do
    if [ "$other" != "$n" ]; then peers+=(--peer "$(peer "$other")"); fi
  done
  hawthornbarrow serve --name "entry-$n" --data-dir "$folder/entry-$n" \
    --listen "127.0.0.1:$((8000 + n))" --link-listen "127.0.0.1:$((7000 + n))" \
    --ledger-listen "127.0.0.1:$((6000 + n))" "${peers[@]}" \
    2>"$folder/entry-$n.log" &
  pids+=($!)
done
for n in 1 2; do
  hawthornbarrow-agent --name "agent-$n" --listen "127.0.0.1:$((7100 + n))" \
    --entry 127.0.0.1:7001 --entry 127.0.0.1:7002 --entry 127.0.0.1:7003 \
    2>"$folder/agent-$n.log" &
  pids+=($!)
  "$PYTHON" -m hawthornbarrow.standin --name "upstream-$n" \
    --agent "127.0.0.1:$((7100 + n))" --journal "$folder/upstream-$n.journal" \
    2>"$folder/upstream-$n.log" &
  pids+=($!)
done

applied=no
for _ in $(seq 50); do
  if hawthornbarrow config apply --base base.toml --expect-version 0 \
    --request-id path --json >"$folder/applied" 2>/dev/null; then
    applied=yes
    break
  fi
  sleep 0.2
done
echo "configuration in force: $applied $(cat "$folder/applied")"
sleep 1

export HAWTHORNBARROW_MEMBER_TOKEN=rolamentos-token
echo "bearings, submitted at entry-1:"
hawthornbarrow job submit --key bearings-1 bearings.json
echo "the same job, resubmitted at entry-2:"
hawthornbarrow job submit --server 127.0.0.1:8002 --key bearings-1 --json bearings.json
export HAWTHORNBARROW_MEMBER_TOKEN=lakeshore-token
echo "fair entries, submitted at entry-3:"
hawthornbarrow job submit --server 127.0.0.1:8003 --key fair-1 fair_entries.json
echo "starts in the upstreams' journals (6 tasks were submitted):"
cat "$folder"/upstream-*.journal | grep -c '^start'
