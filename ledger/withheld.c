/*
 * Withheld tokens: the unprotected part of the recovered grants of dead
 * routers, which only an operator can return to the budget.
 */
#include "ledger/local.h"

/* Interval between checks of grants that only an operator can return. */
#define WITHHELD_RECHECK_US (60 * USEC_PER_SEC)

int64_t grant_unspent(const record_grant_t *grant)
{
	return grant->granted - grant->settled;
}

/*
 * Returns the tokens that the owner may have spent without a record.  Only the
 * owner or an operator may return them: bills released without protection are
 * lost with their router, and their tokens must not be spent twice.
 */
int64_t grant_withheld(const record_grant_t *grant)
{
	return CLAMP(grant->unprotected, 0, grant_unspent(grant));
}

/* Returns true if only the owner or an operator can return what is left. */
bool grant_is_withheld(const record_grant_t *grant)
{
	return grant->recovered && grant_unspent(grant) > 0 &&
	       grant_withheld(grant) == grant_unspent(grant);
}

/* Records the withheld tokens of a member once it has no other grants. */
void withheld_record(ledger_t *ledger, const recovery_t *recovery)
{
	withheld_t *withheld;
	int64_t tokens = 0;

	if (!recovery->close_grants || recovery->wrote)
		return;
	for (guint i = 0; i < recovery->grants->len; i++) {
		const record_t *record =
			&g_array_index(recovery->grants, store_kv_t, i).record;

		if (record->kind != RECORD_GRANT)
			continue;
		if (!grant_is_withheld(&record->u.grant))
			return;
		tokens = MIN(tokens + grant_unspent(&record->u.grant),
			     TOKENS_MAX);
	}
	withheld = g_new(withheld_t, 1);
	withheld->tokens = tokens;
	withheld->checked_at = kernel_now(ledger->kernel);
	g_hash_table_insert(ledger->withheld, g_strdup(recovery->incarnation),
			    withheld);
}

/*
 * Returns the tokens withheld for all dead members.  An entry expires once the
 * member is no longer reported, because the member then has no grants left.
 */
int64_t withheld_sum(ledger_t *ledger)
{
	int64_t now = kernel_now(ledger->kernel);
	int64_t tokens = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ledger->withheld);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const withheld_t *withheld = value;

		if (now - withheld->checked_at > 2 * WITHHELD_RECHECK_US)
			g_hash_table_iter_remove(&iter);
		else
			tokens = MIN(tokens + withheld->tokens, TOKENS_MAX);
	}
	return tokens;
}

/* Returns true if the member was checked recently and waits for an operator. */
bool withheld_is_recent(const ledger_t *ledger, const char *incarnation)
{
	const withheld_t *withheld =
		g_hash_table_lookup(ledger->withheld, incarnation);

	return withheld != NULL &&
	       kernel_now(ledger->kernel) - withheld->checked_at <
		       WITHHELD_RECHECK_US;
}
