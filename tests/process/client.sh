#!/bin/bash
# Guards against commands of the client that fail, print what scripts can't
# read, leave something unwritten or exit with the wrong code.
. "$(dirname "$0")/fleet.sh"

# does TEXT ARG ...: the command exits with 0 and prints the text.
does() {
	want=$1
	shift
	ctl "$@" >"$WORK/out" 2>&1 || fail "$*: exit code $?: $(cat "$WORK/out")"
	grep -qF -- "$want" "$WORK/out" ||
		fail "$*: expected $want, found $(cat "$WORK/out")"
}

# gives EXPRESSION ARG ...: with --json the expression holds for the output d.
gives() {
	want=$1
	shift
	ctl "$@" --json >"$WORK/out" 2>&1 ||
		fail "$* --json: exit code $?: $(cat "$WORK/out")"
	equal "$* --json: $want in $(cat "$WORK/out")" True \
		"$(json "($want)" <"$WORK/out")"
}

# exits CODE TEXT ARG ...: the command fails with the code, prints the text in
# one line to stderr and nothing to stdout.
exits() {
	code=$1 want=$2
	shift 2
	ctl "$@" >"$WORK/out" 2>"$WORK/err"
	got=$?
	equal "exit code of $*: $(cat "$WORK/err")" "$code" "$got"
	equal "lines of the message of $*" 1 "$(wc -l <"$WORK/err")"
	grep -qF -- "$want" "$WORK/err" ||
		fail "$*: expected $want, found $(cat "$WORK/err")"
	check "$* prints to stdout" [ ! -s "$WORK/out" ]
}

start_fake store store
az="--availability-zone az1 --address 127.0.0.1:9000"

does api_key account create workshop --weight 200
text_key=$(awk '$1 == "api_key" { print $2 }' "$WORK/out")
gives 'd["client_account"] == "study" and len(d["api_key"]) == 35' \
	account create study --max-requests 5
json_key=$(json 'd["api_key"]' <"$WORK/out")
does workshop account list
gives '[a["client_account"] for a in d] == ["study", "workshop"]' account list
does enabled account show workshop
gives 'd["weight"] == 200 and d["max_requests"] == 0' account show workshop
does changed account set workshop --max-requests 7
gives '"changed" in d["result"]' account set workshop --weight 300
gives 'd["weight"] == 300 and d["max_requests"] == 7' account show workshop
does changed account disable workshop
gives 'd["state"] == "disabled"' account show workshop
does changed account enable workshop
gives 'd["state"] == "enabled"' account show workshop
gives '"changed" in d["result"]' account disable study
gives '"changed" in d["result"]' account enable study

does api_key key add workshop --budget spare
more_key=$(awk '$1 == "api_key" { print $2 }' "$WORK/out")
gives 'd["client_account"] == "workshop"' key add workshop
last_key=$(json 'd["api_key"]' <"$WORK/out")
for key in "$text_key" "$json_key" "$more_key" "$last_key"; do
	hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
	equal "the hash of a key is not stored" True \
		"$(dump "'$hash' in str(d)")"
	equal "the text of a key is stored" False \
		"$(dump "'${key#tt-}' in str(d)")"
done
does changed key remove workshop "${hash:0:12}"
equal "a removed key's hash" False "$(dump "'$hash' in str(d)")"
hash=$(printf %s "$more_key" | sha256sum | cut -d' ' -f1)
gives '"changed" in d["result"]' key remove workshop "$hash"
equal "keys that are left" 1 "$(dump 'len(d["conf/account/workshop"]["keys"])')"

does 'holds 1000 tokens' budget create workshop 1000
gives '"holds 50 tokens" in d["result"]' budget create workshop/spare 50
does 'holds 1100 tokens' budget topup workshop 100
gives '"holds 1110 tokens" in d["result"]' budget topup workshop/main 10
does 'holds 900 tokens' budget lower workshop 900
gives '"holds 800 tokens" in d["result"]' budget lower workshop 800
does 800 budget show workshop
gives 'd["balance"] == 800 and d["spent"] == 0 and d["grants"] == []' \
	budget show workshop
does workshop/spare budget list
gives '[b["tokens"] for b in d] == [800, 50]' budget list
does '0 grants' budget reclaim gone
gives '"0 grants" in d["result"]' budget reclaim gone

does set service set assistant --max-tokens 64
gives '"set" in d["result"]' service set orders --kind plain \
	--path-prefix /orders --idempotent no
does assistant service list
gives 'len(d) == 2' service list
does /orders service show orders
gives 'd["idempotent"] is False and d["hedge"] is False' service show orders
does set service set assistant --hedge no
gives 'd["max_tokens"] == 64 and d["hedge"] is False' service show assistant

does set target set one --service assistant $az
gives '"set" in d["result"]' target set two --service orders $az
does changed target drain one
gives '[t["state"] for t in d] == ["draining", "open"]' target list
does changed target undrain one
does open target list
gives '"changed" in d["result"]' target drain two
gives '"changed" in d["result"]' target undrain two
does 'order 1 ' target order one load big@2
gives '"order 2 " in d["result"]' target order one role prefill
does pending target orders
gives '[(o["order"], o["what"], o["state"]) for o in d] ==
	[("role", "prefill", "pending")]' target orders

does ordinary preset show
does peak preset set peak
gives 'd["in_force"] == "peak" and len(d["parameters"]) > 5' preset show
gives '"maintenance" in d["result"]' preset set maintenance
does maintenance status
gives '[len(d[k]) for k in ("members", "targets", "budgets", "preset")] ==
	[0, 2, 2, 1]' status

# Removed records are neither listed nor shown, and can be made again.
does changed target remove one
gives '[t["target"] for t in d] == ["two"]' target list
gives '[t["target"] for t in d["targets"]] == ["two"]' status
gives '"changed" in d["result"]' target remove two
does removed service remove assistant
gives '"removed" in d["result"]' service remove orders
gives 'd == []' service list
does changed account remove study
gives '"changed" in d["result"]' account remove workshop
gives 'd == []' account list
exits 3 'not found' account show workshop
exits 3 'not found' service show orders
gives 'd["client_account"] == "study"' account create study
gives 'd["weight"] == 100 and d["keys"].endswith(":main")' account show study

before=$(dump d)
exits 2 'unknown or missing verb' account
exits 2 'unknown or missing verb' budget raise workshop 1
exits 2 usage: account show
exits 2 usage: budget topup workshop
exits 2 usage: status now
exits 2 --colour preset show --colour
exits 2 'is not a name' account create a/b
exits 2 --weight account create a --weight 0
exits 2 --weight key add study --weight 5
exits 2 --budget key add study --budget a/b
exits 2 HASH key remove study abc
exits 2 'tokens' budget create study many
exits 2 -1 budget topup study -1
exits 2 tokens budget create study 4503599627370497
exits 2 'ACCOUNT/BUDGET' budget show a/b/c
exits 2 --kind service set a --kind odd
exits 2 --path-prefix service set a --kind plain
exits 2 --hedge service set a --hedge maybe
exits 2 --address target set a --service b --availability-zone az1
exits 2 --address target set a --service b --availability-zone az1 \
	--address localhost:1
exits 2 'expected load' target order a drop b
exits 2 'not a preset' preset set wild
exits 2 --op budget topup study 1 --op 'a b'

exits 3 exists account create study
exits 3 'not found' account set absent --weight 5
exits 3 'no API key' key remove study 0123456789
exits 3 exists budget create workshop 5
exits 3 'not found' budget show absent
exits 3 'not found' budget lower absent 5
exits 3 'use topup' budget lower workshop 900
exits 3 'conf/service/absent: not found' target set a --service absent $az
exits 3 'conf/service/orders: not found' target set a --service orders $az
exits 3 'not found' target drain absent
exits 3 'not found' target order absent load b
exits 3 'not found' service remove absent
equal "what refused commands changed" "$before" "$(dump d)"
for _ in 1 2 3; do
	ctl key add study >/dev/null || fail "key add"
done
exits 3 'remove one' key add study
