#include "ledger/local.h"

/* Between looks at grants that only an operator can give back. */
#define WITHHELD_RECHECK_US (60 * USEC_PER_SEC)

int64_t grant_unspent(const record_grant_t *grant)
{
	return grant->granted - grant->settled;
}

/*
 * The part that the owner may have spent without leaving a trace.  Only the
 * owner or an operator gives it back: bills that were released unprotected
 * die with their router, and their tokens must not be spent again.
 */
int64_t grant_withheld(const record_grant_t *grant)
{
	return CLAMP(grant->unprotected, 0, grant_unspent(grant));
}

/* Nothing can be done for it but by its owner or an operator. */
bool grant_is_withheld(const record_grant_t *grant)
{
	return grant->recovered && grant_unspent(grant) > 0 &&
	       grant_withheld(grant) == grant_unspent(grant);
}

/* Sums up what the listed grants withhold, once nothing else is left. */
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

/* Forgets members that are no longer reported: nothing of theirs is left. */
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

/* A member whose grants wait for an operator is looked at now and then. */
bool withheld_is_recent(const ledger_t *ledger, const char *incarnation)
{
	const withheld_t *withheld =
		g_hash_table_lookup(ledger->withheld, incarnation);

	return withheld != NULL &&
	       kernel_now(ledger->kernel) - withheld->checked_at <
		       WITHHELD_RECHECK_US;
}
