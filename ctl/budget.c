/*
 * Commands on prepaid budgets, and the return of a dead router's grants to
 * their budgets.
 */
#include "ctl/command.h"
#include "ctl/records.h"

#include <string.h>

#define WRITE_TRIES_MAX 20 /* routers write the same record concurrently */
#define BUDGET_TOKENS_MAX (INT64_C(1) << 53)

/* Converts ACCOUNT or ACCOUNT/BUDGET to the key of the budget's record. */
static ctl_status_t budget_key(ctl_t *ctl, const char *text, char *key)
{
	g_auto(GStrv) parts = g_strsplit(text, "/", 3);
	guint count = g_strv_length(parts);

	if (count < 1 || count > 2 || !name_is_valid(parts[0]) ||
	    (count == 2 && !name_is_valid(parts[1]))) {
		errmsg_set(&ctl->err, "%.80s is not ACCOUNT or ACCOUNT/BUDGET",
			   text);
		return CTL_USAGE;
	}
	g_snprintf(key, STORE_KEY_SIZE, "budget/%s/%s", parts[0],
		   count == 2 ? parts[1] : DEFAULT_BUDGET);
	return CTL_OK;
}

static bool contains_op(const record_budget_t *budget, const op_id_t *op)
{
	for (int i = 0; i < BUDGET_OPS; i++) {
		if (op_id_equal(&budget->ops[i], op))
			return true;
	}
	return false;
}

static void add_op(record_budget_t *budget, const op_id_t *op)
{
	memmove(&budget->ops[1], &budget->ops[0],
		sizeof(budget->ops[0]) * (BUDGET_OPS - 1));
	budget->ops[0] = *op;
}

static ctl_status_t apply_command(ctl_t *ctl, const args_t *args,
				  const char *key, int64_t tokens,
				  record_t *record)
{
	record_budget_t *budget = &record->u.budget;
	bool exists = record->kind == RECORD_BUDGET;

	switch (args->command) {
	case COMMAND_BUDGET_CREATE:
		if (exists) {
			errmsg_set(&ctl->err, "%s already exists", key);
			return CTL_REFUSED;
		}
		memset(record, 0, sizeof(*record));
		record->kind = RECORD_BUDGET;
		budget->budget = tokens;
		break;
	case COMMAND_BUDGET_TOPUP:
		if (exists && budget->budget > BUDGET_TOKENS_MAX - tokens) {
			errmsg_set(&ctl->err,
				   "%s: the budget would be too large", key);
			return CTL_REFUSED;
		}
		budget->budget += tokens;
		break;
	case COMMAND_BUDGET_LOWER:
		if (exists && tokens > budget->budget) {
			errmsg_set(&ctl->err,
				   "%s holds %" G_GINT64_FORMAT
				   " tokens, use topup to raise it",
				   key, budget->budget);
			return CTL_REFUSED;
		}
		if (exists && tokens < budget->granted) {
			errmsg_set(&ctl->err,
				   "%s: %" G_GINT64_FORMAT
				   " tokens are spent or granted, it can't be "
				   "lowered below that",
				   key, budget->granted);
			return CTL_REFUSED;
		}
		budget->budget = tokens;
		break;
	default:
		return CTL_USAGE;
	}
	if (record->kind != RECORD_BUDGET) {
		errmsg_set(&ctl->err, "%s: not found", key);
		return CTL_REFUSED;
	}
	add_op(budget, &ctl->op);
	return CTL_OK;
}

/*
 * Repeats read, change and write after a conflict with a router's write.  The
 * operation id in the record tells whether an earlier attempt took effect.
 */
static ctl_status_t change(ctl_t *ctl, const args_t *args)
{
	char key[STORE_KEY_SIZE];
	int64_t tokens = 0;
	store_kv_t kv = {0};
	ctl_status_t status = budget_key(ctl, args->names[0], key);

	if (status == CTL_OK)
		status = args_parse_tokens(ctl, args->names[1], 0, &tokens);
	if (status != CTL_OK)
		return status;
	status = CTL_RACE;
	for (int i = 0; i < WRITE_TRIES_MAX && status == CTL_RACE; i++) {
		record_clear(&kv.record);
		status = ctl_get(ctl, key, &kv);
		if (status != CTL_OK)
			break;
		if (kv.record.kind == RECORD_BUDGET &&
		    contains_op(&kv.record.u.budget, &ctl->op))
			break;
		status = apply_command(ctl, args, key, tokens, &kv.record);
		if (status == CTL_OK)
			status = ctl_put(ctl, key, kv.revision, &kv.record);
	}
	if (status == CTL_OK)
		ctl_print_message(ctl, "%s holds %" G_GINT64_FORMAT " tokens",
				  key, kv.record.u.budget.budget);
	record_clear(&kv.record);
	return status;
}

/* Appends a row for each grant of the budget and adds up settled tokens. */
static ctl_status_t add_grants(ctl_t *ctl, const char *key, JsonArray *rows,
			       int64_t *settled)
{
	const char *suffix = strchr(key, '/'); /* "/ACCOUNT/BUDGET" */
	GArray *kvs = NULL;
	ctl_status_t status = ctl_list(ctl, "grant/", &kvs);

	for (guint i = 0; i < kvs->len && status == CTL_OK; i++) {
		const store_kv_t *kv = &g_array_index(kvs, store_kv_t, i);

		if (kv->record.kind != RECORD_GRANT ||
		    !g_str_has_suffix(kv->key, suffix))
			continue;
		*settled += kv->record.u.grant.settled;
		json_array_add_object_element(rows, ctl_describe(kv));
	}
	g_array_unref(kvs);
	return status;
}

static ctl_status_t show(ctl_t *ctl, const args_t *args)
{
	char key[STORE_KEY_SIZE];
	store_kv_t kv = {0};
	JsonArray *rows = json_array_new();
	JsonObject *object = NULL;
	int64_t settled = 0;
	ctl_status_t status = budget_key(ctl, args->names[0], key);

	if (status == CTL_OK)
		status = ctl_get_existing(ctl, key, RECORD_BUDGET, &kv);
	if (status == CTL_OK)
		status = add_grants(ctl, key, rows, &settled);
	if (status != CTL_OK)
		goto out;
	settled += kv.record.u.budget.retired;
	object = ctl_describe(&kv);
	json_object_set_int_member(object, "spent", settled);
	json_object_set_int_member(object, "balance",
				   kv.record.u.budget.budget - settled);
	json_object_set_array_member(object, "grants", json_array_ref(rows));
	ctl_print_object(ctl, object);
out:
	json_array_unref(rows);
	record_clear(&kv.record);
	return status;
}

/* Converts grant/INCARNATION/ACCOUNT/BUDGET to budget/ACCOUNT/BUDGET. */
static bool budget_key_of_grant(const char *grant, char *key)
{
	const char *budget_path = strchr(grant, '/');

	if (budget_path != NULL)
		budget_path = strchr(budget_path + 1, '/');
	if (budget_path == NULL)
		return false;
	g_snprintf(key, STORE_KEY_SIZE, "budget%s", budget_path);
	return true;
}

/*
 * Closes one grant: its settled tokens stay spent, the others return to the
 * budget.
 */
static ctl_status_t close_grant(ctl_t *ctl, const store_kv_t *grant,
				const char *incarnation, bool force,
				bool *committed)
{
	char key[STORE_KEY_SIZE];
	char alive_key[STORE_KEY_SIZE];
	store_kv_t kv = {0};
	store_txn_t *txn;
	record_budget_t *budget = &kv.record.u.budget;
	const record_grant_t *record = &grant->record.u.grant;
	ctl_status_t status;

	*committed = false;
	if (grant->record.kind != RECORD_GRANT ||
	    !budget_key_of_grant(grant->key, key)) {
		errmsg_set(&ctl->err, "%.100s: the stored grant is malformed",
			   grant->key);
		return CTL_REFUSED;
	}
	if (!record->recovered && !force) {
		errmsg_set(&ctl->err,
			   "%.100s: its buddy has not recovered it and may "
			   "hold bills; wait, or use --force if the buddy is "
			   "gone as well",
			   grant->key);
		return CTL_REFUSED;
	}
	status = ctl_get_existing(ctl, key, RECORD_BUDGET, &kv);
	if (status != CTL_OK)
		goto out;
	budget->granted -= record->granted - record->settled;
	budget->retired += record->settled;
	add_op(budget, &ctl->op);
	txn = store_txn_new();
	store_txn_group(txn);
	g_snprintf(alive_key, sizeof(alive_key), "alive/%s", incarnation);
	store_txn_check(txn, alive_key, EXPECT_ABSENT);
	store_txn_put(txn, key, kv.revision, 0, &kv.record);
	store_txn_delete(txn, grant->key, grant->revision);
	status = ctl_txn(ctl, txn, committed);
out:
	record_clear(&kv.record);
	return status;
}

static ctl_status_t check_not_alive(ctl_t *ctl, const char *incarnation)
{
	char key[STORE_KEY_SIZE];
	store_kv_t kv;
	ctl_status_t status;

	g_snprintf(key, sizeof(key), "alive/%s", incarnation);
	status = ctl_get(ctl, key, &kv);
	if (status == CTL_OK && kv.record.kind != RECORD_NONE) {
		errmsg_set(&ctl->err, "router %s is alive", incarnation);
		status = CTL_REFUSED;
	}
	record_clear(&kv.record);
	return status;
}

/* Deletes the record of a dead router, which is not used without grants. */
static ctl_status_t delete_member(ctl_t *ctl, const char *incarnation)
{
	char key[STORE_KEY_SIZE];
	char alive_key[STORE_KEY_SIZE];
	store_kv_t kv;
	store_txn_t *txn;
	bool committed;
	ctl_status_t status;

	g_snprintf(key, sizeof(key), "member/%s", incarnation);
	g_snprintf(alive_key, sizeof(alive_key), "alive/%s", incarnation);
	status = ctl_get(ctl, key, &kv);
	if (status == CTL_OK && kv.record.kind == RECORD_MEMBER) {
		txn = store_txn_new();
		store_txn_group(txn);
		store_txn_check(txn, alive_key, EXPECT_ABSENT);
		store_txn_delete(txn, key, kv.revision);
		status = ctl_txn(ctl, txn, &committed);
	}
	record_clear(&kv.record);
	return status;
}

static ctl_status_t reclaim(ctl_t *ctl, const args_t *args)
{
	const char *incarnation = args->names[0];
	char prefix[STORE_KEY_SIZE];
	GArray *kvs = NULL;
	guint closed = 0;
	ctl_status_t status;

	if (!name_is_valid(incarnation)) {
		errmsg_set(&ctl->err, "%.80s is not an incarnation",
			   incarnation);
		return CTL_USAGE;
	}
	status = check_not_alive(ctl, incarnation);
	if (status != CTL_OK)
		return status;
	g_snprintf(prefix, sizeof(prefix), "grant/%s/", incarnation);
	status = ctl_list(ctl, prefix, &kvs);
	for (guint i = 0; i < kvs->len && status == CTL_OK; i++) {
		bool committed;

		status = close_grant(ctl, &g_array_index(kvs, store_kv_t, i),
				     incarnation, args->force, &committed);
		if (status == CTL_OK && !committed) {
			errmsg_set(&ctl->err,
				   "a router changed the grant at the "
				   "same time; repeat the command");
			status = CTL_RACE;
		}
		closed += committed ? 1 : 0;
	}
	g_array_unref(kvs);
	if (status == CTL_OK)
		status = delete_member(ctl, incarnation);
	if (status == CTL_OK)
		ctl_print_message(ctl, "%u grants of %s given back", closed,
				  incarnation);
	return status;
}

ctl_status_t budget_run(ctl_t *ctl, const args_t *args)
{
	switch (args->command) {
	case COMMAND_BUDGET_LIST:
		return ctl_print_list(ctl, "budget/");
	case COMMAND_BUDGET_SHOW:
		return show(ctl, args);
	case COMMAND_BUDGET_RECLAIM:
		return reclaim(ctl, args);
	default:
		return change(ctl, args);
	}
}
