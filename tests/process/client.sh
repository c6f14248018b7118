#!/bin/bash
# Guards against client commands that fail, print output that scripts can't
# parse, omit a write or exit with the wrong code.
. "$(dirname "$0")/fleet.sh"

# expect_output TEXT ARG ...: fails unless the command exits with 0 and prints
# the text.
expect_output() {
	want=$1
	shift
	ctl "$@" >"$WORK/out" 2>&1 ||
		fail "$*: exit code $?: $(cat "$WORK/out")"
	grep -qF -- "$want" "$WORK/out" ||
		fail "$*: expected $want, found $(cat "$WORK/out")"
}

# expect_json EXPRESSION ARG ...: fails unless the expression is true for the
# output d of the command with --json.
expect_json() {
	want=$1
	shift
	ctl "$@" --json >"$WORK/out" 2>&1 ||
		fail "$* --json: exit code $?: $(cat "$WORK/out")"
	expect_equal "$* --json: $want in $(cat "$WORK/out")" True \
		"$(json "($want)" <"$WORK/out")"
}

# expect_failure CODE TEXT ARG ...: fails unless the command exits with the code
# and prints one line with the text to stderr and nothing to stdout.
expect_failure() {
	code=$1 want=$2
	shift 2
	ctl "$@" >"$WORK/out" 2>"$WORK/err"
	got=$?
	expect_equal "exit code of $*: $(cat "$WORK/err")" "$code" "$got"
	expect_equal "lines of the message of $*" 1 "$(wc -l <"$WORK/err")"
	grep -qF -- "$want" "$WORK/err" ||
		fail "$*: expected $want, found $(cat "$WORK/err")"
	check "$* prints to stdout" [ ! -s "$WORK/out" ]
}

start_fake store store
az="--availability-zone az1 --address 127.0.0.1:9000"

expect_output api_key account create workshop --weight 200
text_key=$(awk '$1 == "api_key" { print $2 }' "$WORK/out")
expect_json 'd["client_account"] == "study" and len(d["api_key"]) == 35' \
	account create study --max-requests 5
json_key=$(json 'd["api_key"]' <"$WORK/out")
expect_output workshop account list
expect_json '[a["client_account"] for a in d] == ["study", "workshop"]' \
	account list
expect_output enabled account show workshop
expect_json 'd["weight"] == 200 and d["max_requests"] == 0' \
	account show workshop
expect_output changed account set workshop --max-requests 7
expect_json '"changed" in d["result"]' account set workshop --weight 300
expect_json 'd["weight"] == 300 and d["max_requests"] == 7' \
	account show workshop
expect_output changed account disable workshop
expect_json 'd["state"] == "disabled"' account show workshop
expect_output changed account enable workshop
expect_json 'd["state"] == "enabled"' account show workshop
expect_json '"changed" in d["result"]' account disable study
expect_json '"changed" in d["result"]' account enable study

expect_output api_key key add workshop --budget spare
more_key=$(awk '$1 == "api_key" { print $2 }' "$WORK/out")
expect_json 'd["client_account"] == "workshop"' key add workshop
last_key=$(json 'd["api_key"]' <"$WORK/out")
for key in "$text_key" "$json_key" "$more_key" "$last_key"; do
	hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
	expect_equal "the hash of a key is not stored" True \
		"$(eval_store "'$hash' in str(d)")"
	expect_equal "the text of a key is stored" False \
		"$(eval_store "'${key#tt-}' in str(d)")"
done
expect_output changed key remove workshop "${hash:0:12}"
expect_equal "a removed key's hash" False "$(eval_store "'$hash' in str(d)")"
hash=$(printf %s "$more_key" | sha256sum | cut -d' ' -f1)
expect_json '"changed" in d["result"]' key remove workshop "$hash"
expect_equal "remaining keys" 1 \
	"$(eval_store 'len(d["conf/account/workshop"]["keys"])')"

expect_output 'holds 1000 tokens' budget create workshop 1000
expect_json '"holds 50 tokens" in d["result"]' budget create workshop/spare 50
expect_output 'holds 1100 tokens' budget topup workshop 100
expect_json '"holds 1110 tokens" in d["result"]' budget topup workshop/main 10
expect_output 'holds 900 tokens' budget lower workshop 900
expect_json '"holds 800 tokens" in d["result"]' budget lower workshop 800
expect_output 800 budget show workshop
expect_json 'd["balance"] == 800 and d["spent"] == 0 and d["grants"] == []' \
	budget show workshop
expect_output workshop/spare budget list
expect_json '[b["tokens"] for b in d] == [800, 50]' budget list
expect_output '0 grants' budget reclaim gone
expect_json '"0 grants" in d["result"]' budget reclaim gone

expect_output set service set assistant --max-tokens 64
expect_json '"set" in d["result"]' service set orders --kind plain \
	--path-prefix /orders --idempotent no
expect_output assistant service list
expect_json 'len(d) == 2' service list
expect_output /orders service show orders
expect_json 'd["idempotent"] is False and d["hedge"] is False' \
	service show orders
expect_output set service set assistant --hedge no
expect_json 'd["max_tokens"] == 64 and d["hedge"] is False' \
	service show assistant

expect_output set target set one --service assistant $az
expect_json '"set" in d["result"]' target set two --service orders $az
expect_output changed target drain one
expect_json '[t["state"] for t in d] == ["draining", "open"]' target list
expect_output changed target undrain one
expect_output open target list
expect_json '"changed" in d["result"]' target drain two
expect_json '"changed" in d["result"]' target undrain two
expect_output 'order 1 ' target order one load big@2
expect_json '"order 2 " in d["result"]' target order one role prefill
expect_output pending target orders
expect_json '[(o["order"], o["what"], o["state"]) for o in d] ==
	[("role", "prefill", "pending")]' target orders

expect_output ordinary preset show
expect_output peak preset set peak
expect_json 'd["in_force"] == "peak" and len(d["parameters"]) > 5' preset show
expect_json '"maintenance" in d["result"]' preset set maintenance
expect_output maintenance status
expect_json '[len(d[k]) for k in ("members", "targets", "budgets", "preset")] ==
	[0, 2, 2, 1]' status

# Removed records are neither listed nor shown, and can be created again.
expect_output changed target remove one
expect_json '[t["target"] for t in d] == ["two"]' target list
expect_json '[t["target"] for t in d["targets"]] == ["two"]' status
expect_json '"changed" in d["result"]' target remove two
expect_output removed service remove assistant
expect_json '"removed" in d["result"]' service remove orders
expect_json 'd == []' service list
expect_output changed account remove study
expect_json '"changed" in d["result"]' account remove workshop
expect_json 'd == []' account list
expect_failure 3 'not found' account show workshop
expect_failure 3 'not found' service show orders
expect_json 'd["client_account"] == "study"' account create study
expect_json 'd["weight"] == 100 and d["keys"].endswith(":main")' \
	account show study

before=$(eval_store d)
expect_failure 2 'unknown or missing verb' account
expect_failure 2 'unknown or missing verb' budget raise workshop 1
expect_failure 2 usage: account show
expect_failure 2 usage: budget topup workshop
expect_failure 2 usage: status now
expect_failure 2 --colour preset show --colour
expect_failure 2 'is not a name' account create a/b
expect_failure 2 --weight account create a --weight 0
expect_failure 2 --weight key add study --weight 5
expect_failure 2 --budget key add study --budget a/b
expect_failure 2 HASH key remove study abc
expect_failure 2 'tokens' budget create study many
expect_failure 2 -1 budget topup study -1
expect_failure 2 tokens budget create study 4503599627370497
expect_failure 2 'ACCOUNT/BUDGET' budget show a/b/c
expect_failure 2 --kind service set a --kind odd
expect_failure 2 --path-prefix service set a --kind plain
expect_failure 2 --hedge service set a --hedge maybe
expect_failure 2 --address target set a --service b --availability-zone az1
expect_failure 2 --address target set a --service b --availability-zone az1 \
	--address localhost:1
expect_failure 2 'expected load' target order a drop b
expect_failure 2 'not a preset' preset set wild
expect_failure 2 --op budget topup study 1 --op 'a b'

expect_failure 3 exists account create study
expect_failure 3 'not found' account set absent --weight 5
expect_failure 3 'no API key' key remove study 0123456789
expect_failure 3 exists budget create workshop 5
expect_failure 3 'not found' budget show absent
expect_failure 3 'not found' budget lower absent 5
expect_failure 3 'use topup' budget lower workshop 900
expect_failure 3 'conf/service/absent: not found' \
	target set a --service absent $az
expect_failure 3 'conf/service/orders: not found' \
	target set a --service orders $az
expect_failure 3 'not found' target drain absent
expect_failure 3 'not found' target order absent load b
expect_failure 3 'not found' service remove absent
expect_equal "what refused commands changed" "$before" "$(eval_store d)"
for _ in 1 2 3; do
	ctl key add study >/dev/null || fail "key add"
done
expect_failure 3 'remove one' key add study
