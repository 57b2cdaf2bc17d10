#!/usr/bin/env bash
# Installs the packages, builds, starts one instance with a stand-in engine and
# a stand-in booking service, and runs a program on them.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
tools/build.sh --target hawthornd hawthornctl hawthorn_standin
work=$(mktemp -d)
pids=()
cleanup() {
  # Stop the upstreams before the instance, since each reports its departure to
  # it.
  for ((n = ${#pids[@]} - 1; n >= 0; --n)); do
    kill "${pids[n]}" 2>/dev/null || true
    wait "${pids[n]}" || true
  done
  rm -rf "$work"
}
trap cleanup EXIT
ctl=build/main/hawthornctl

echo "--- settings and first configuration from a questionnaire"
$ctl questionnaire generate examples/demo/answers.yaml --out "$work"
sed -i "s|^data_folder: .*|data_folder: $work/data|; s|127.0.0.1:18080|127.0.0.1:0|" \
  "$work/instances/one.yaml"

echo "--- one instance, one engine, one booking application"
build/main/hawthornd --settings "$work/instances/one.yaml" \
  > "$work/out" 2> "$work/log" &
pids+=($!)
until grep -q ready "$work/out"; do sleep 0.1; done
host=127.0.0.1:$(sed -n 's/ready http=\([0-9]*\).*/\1/p' "$work/out")
operator=$(cat "$work/keys/operator.key")
for stand_in in "engine asistente" "service reservas"; do
  set -- $stand_in
  build/tests/standins/hawthorn_standin --role "$1" --name "$2-1" \
    --service "$2" --zone zone-a --instances "$host" --key "$operator" \
    > /dev/null &
  pids+=($!)
done
until [ "$($ctl --instance "$host" --key_file "$work/keys/operator.key" \
  upstreams | grep -c active)" = 2 ]; do sleep 0.1; done

key=$(cat "$work/keys/organisations/families.key")
call() { curl -sN -X POST -H "Authorization: Bearer $key" "$host$1" -d "$2"; }
id_of() { sed 's/.*"program":"\([^"]*\)".*/\1/'; }

echo "--- a program of several turns"
id=$(call /v1/programs '{"class":"chat","budget":{"tokens":100000}}' | id_of)
call "/v1/programs/$id/calls" '{"number":1,"service":"asistente",
  "class":"chat","stream":true,
  "messages":[{"role":"user","content":"Which dates are free?"}]}'
echo "--- a tool pause"
call "/v1/programs/$id/pause" '{"tool":"travel","deadline_ms":60000}'
call "/v1/programs/$id/resume" '{}'
echo "--- a sub-agent within the budget of its parent"
child=$(call /v1/programs "{\"parent\":\"$id\",\"class\":\"chat\",
  \"budget\":{\"tokens\":5000}}" | id_of)
call "/v1/programs/$child/calls" '{"number":1,"service":"asistente",
  "class":"chat","messages":[{"role":"user","content":"Look for a bus"}]}'
echo "--- a booking that may not be repeated, sent twice"
for _ in 1 2; do
  call "/v1/programs/$id/calls" '{"number":2,"service":"reservas",
    "operation":"book","input":{"date":"2027-01-04"}}'
done
call "/v1/programs/$id/end" '{}'
echo "--- status"
for verb in status upstreams metrics "members list"; do
  $ctl --instance "$host" --key_file "$work/keys/operator.key" $verb
done
