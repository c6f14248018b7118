#include "ledger/local.h"

/* Between looks at grants that only an operator can give back. */
#define WITHHELD_LOOK (60 * USEC_PER_SEC)

int64_t grant_rest(const record_grant_t *grant)
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
	return CLAMP(grant->unprotected, 0, grant_rest(grant));
}

/* Nothing can be done for it but by its owner or an operator. */
bool grant_is_withheld(const record_grant_t *grant)
{
	return grant->recovered && grant_rest(grant) > 0 &&
	       grant_withheld(grant) == grant_rest(grant);
}

/* Sums up what the listed grants withhold, once nothing else is left. */
void withheld_note(ledger_t *ledger, const job_t *job)
{
	withheld_t *withheld;
	int64_t tokens = 0;

	if (!job->closing || job->progress)
		return;
	for (guint i = 0; i < job->grants->len; i++) {
		const record_t *record =
			&g_array_index(job->grants, store_kv_t, i).record;

		if (record->kind != RECORD_GRANT)
			continue;
		if (!grant_is_withheld(&record->u.grant))
			return;
		tokens = MIN(tokens + grant_rest(&record->u.grant), TOKENS_MAX);
	}
	withheld = g_new(withheld_t, 1);
	withheld->tokens = tokens;
	withheld->looked_at = kernel_now(ledger->kernel);
	g_hash_table_insert(ledger->withheld, g_strdup(job->incarnation),
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

		if (now - withheld->looked_at > 2 * WITHHELD_LOOK)
			g_hash_table_iter_remove(&iter);
		else
			tokens = MIN(tokens + withheld->tokens, TOKENS_MAX);
	}
	return tokens;
}

/* A member whose grants wait for an operator is looked at now and then. */
bool withheld_is_known(const ledger_t *ledger, const char *incarnation)
{
	const withheld_t *withheld =
		g_hash_table_lookup(ledger->withheld, incarnation);

	return withheld != NULL &&
	       kernel_now(ledger->kernel) - withheld->looked_at < WITHHELD_LOOK;
}
