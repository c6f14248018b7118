#include "prepaid/account.h"

#include <math.h>
#include <string.h>

/* Period of demand that the tokens held in advance cover. */
#define HEADROOM_S 9.0
/*
 * The headroom of all instances together is at most this share of the
 * unallocated tokens, because tokens held in advance are lost when all
 * instances lose power.
 */
#define HEADROOM_SHARE_MAX 0.35
/*
 * The headroom covers at least this many requests of mean size, so that an
 * account with little demand does not need a call to the store for each one.
 */
#define HEADROOM_REQUESTS_MIN 10
/*
 * Period of other instances' refill demand that a home's headroom covers.  Each
 * extension of the home's own grant is a call to the store.
 */
#define REFILL_HEADROOM_S 4.0
/* Minimum share of the grants, as a fraction of an equal share. */
#define GRANT_SHARE_MIN 0.5
/* A record with so many holders is rid of those that have ended. */
#define HOLDERS_MERGE_MIN 256
#define MEAN_TOKENS_WEIGHT 0.1 /* weight of the newest reservation */
#define DEMAND_TIME_CONSTANT_S 6.0
/* Minimum age of a rate: two requests in quick succession are no trend. */
#define DEMAND_AGE_MIN_S 1.0

bool account_has_fleet_home(const prepaid_account_t *account)
{
	return account->failed_home_count == 0;
}

int64_t account_available(const prepaid_account_t *account)
{
	if (account->grant_closed)
		return 0;
	return account->granted + account->transferred_in -
	       account->transferred_out - account->spent - account->reserved;
}

int64_t account_unallocated(const prepaid_account_t *account)
{
	int64_t total = 0;

	if (account->prepaid_tokens < 0)
		return 0;
	if (account->record != NULL)
		total = allocation_total(account->record);
	if (total < 0)
		return 0;
	return MAX(account->prepaid_tokens - total, 0);
}

/*
 * Returns this instance's share of the tokens granted to all instances, whose
 * grants differ in size.
 */
static double grant_share(const prepaid_account_t *account,
			  const fleet_share_t *share)
{
	double min_share =
		GRANT_SHARE_MIN * share->served / MAX(share->total, 1);
	int64_t granted = 0;

	for (guint i = 0;
	     account->record != NULL && i < account->record->holders->len;
	     i++) {
		const grant_holder_t *holder = &g_array_index(
			account->record->holders, grant_holder_t, i);

		if (holder->state == GRANT_OPEN)
			granted += holder->granted;
	}
	if (granted <= 0)
		return min_share / GRANT_SHARE_MIN;
	return CLAMP((double)account->granted / (double)granted, min_share,
		     1.0);
}

int64_t account_headroom_max(const prepaid_account_t *account,
			     const fleet_share_t *share)
{
	return (int64_t)((double)account_unallocated(account) *
			 HEADROOM_SHARE_MAX * grant_share(account, share));
}

static double elapsed_s(int64_t from, int64_t to)
{
	return (double)(to - from) / USEC_PER_SEC;
}

/*
 * An exponentially smoothed rate starts at zero and is too low in its first
 * seconds.  Dividing by the sum of its weights so far removes that bias.
 */
static double rate_estimate(const token_rate_t *rate, int64_t now)
{
	double age = MAX(elapsed_s(rate->started_at, now), DEMAND_AGE_MIN_S);

	if (rate->started_at == 0)
		return 0.0;
	return rate->per_s *
	       exp(-elapsed_s(rate->updated_at, now) / DEMAND_TIME_CONSTANT_S) /
	       (1.0 - exp(-age / DEMAND_TIME_CONSTANT_S));
}

static void rate_add(token_rate_t *rate, int64_t tokens, int64_t now)
{
	if (rate->started_at == 0)
		rate->started_at = now;
	rate->per_s = rate->per_s * exp(-elapsed_s(rate->updated_at, now) /
					DEMAND_TIME_CONSTANT_S) +
		      (double)tokens / DEMAND_TIME_CONSTANT_S;
	rate->updated_at = now;
}

int64_t account_headroom(const prepaid_account_t *account,
			 const fleet_share_t *share, int64_t now)
{
	double want =
		rate_estimate(&account->demand, now) * HEADROOM_S +
		rate_estimate(&account->refill_demand, now) * REFILL_HEADROOM_S;

	/*
	 * A refill from the home costs a message but no call to the store, so
	 * no minimum number of requests is covered.
	 */
	if (account->headroom_limit >= 0)
		return MIN((int64_t)want, account->headroom_limit);
	want = MAX(want, account->mean_tokens * HEADROOM_REQUESTS_MIN);
	return MIN((int64_t)want, account_headroom_max(account, share));
}

void account_add_demand(prepaid_account_t *account, int64_t tokens, int64_t now)
{
	rate_add(&account->demand, tokens, now);
	account->mean_tokens +=
		MEAN_TOKENS_WEIGHT * ((double)tokens - account->mean_tokens);
}

void account_add_refill_demand(prepaid_account_t *account, int64_t tokens,
			       int64_t now)
{
	rate_add(&account->refill_demand, tokens, now);
}

int64_t account_grant_used(const prepaid_account_t *account)
{
	return MAX(account->spent + account->transferred_out +
			   account->reserved - account->transferred_in,
		   0);
}

int64_t account_unused_transfers(const prepaid_account_t *account)
{
	return MAX(account->transferred_in - account->spent -
			   account->transferred_out - account->reserved,
		   0);
}

const grant_holder_t *account_own_holder(const prepaid_account_t *account,
					 const prepaid_opts_t *self)
{
	return account->record != NULL
		       ? allocation_find(account->record, self->incarnation)
		       : NULL;
}

int64_t account_recorded_grant(const prepaid_account_t *account,
			       const prepaid_opts_t *self)
{
	const grant_holder_t *own = account_own_holder(account, self);

	return own != NULL && own->state == GRANT_OPEN ? own->granted : 0;
}

void account_update(prepaid_account_t *account, const record_t *record,
		    int64_t revision)
{
	record_allocation_t *read = NULL;

	if (revision < account->revision)
		return;
	if (record->kind == RECORD_ALLOCATION)
		read = allocation_copy(record->u.allocation);
	else if (record->kind != RECORD_NONE || revision_number(revision) != 0)
		return;
	if (account->unsaved) {
		if (read == NULL)
			read = allocation_new();
		account->unsaved = allocation_join(read, account->record);
	}
	allocation_free(account->record);
	account->record = read;
	account->revision = revision;
}

void account_adopt_grant(prepaid_account_t *account, const prepaid_opts_t *self)
{
	int64_t recorded = account_recorded_grant(account, self);
	int64_t total =
		account->record != NULL ? allocation_total(account->record) : 0;

	/*
	 * Only this instance writes its own grant, and it lowers the grant only
	 * before a planned stop.
	 */
	if (account->grant_closed)
		account->granted = recorded;
	else if (total >= 0 && total <= account->prepaid_tokens)
		account->granted = MAX(recorded, account->granted);
}

/*
 * Merges the entries of ended processes into one with a name of its own.  What
 * an instance still knows of one of them is counted a second time, which is
 * safe.
 */
static void merge_ended(record_allocation_t *allocation,
			const prepaid_account_t *account,
			const prepaid_opts_t *self)
{
	grant_holder_t merged = {.state = GRANT_LOST};

	for (guint i = allocation->holders->len; i > 0; i--) {
		const grant_holder_t *holder = &g_array_index(
			allocation->holders, grant_holder_t, i - 1);

		if (holder->state == GRANT_OPEN)
			continue;
		merged.granted += holder->granted;
		g_array_remove_index_fast(allocation->holders, i - 1);
	}
	g_strlcpy(merged.node, self->node, sizeof(merged.node));
	g_snprintf(merged.incarnation, sizeof(merged.incarnation),
		   "%" G_GINT64_MODIFIER "x.%.20s", account->revision,
		   self->incarnation);
	g_array_append_val(allocation->holders, merged);
}

record_allocation_t *account_next_record(const prepaid_account_t *account,
					 const prepaid_opts_t *self,
					 int64_t granted, bool close)
{
	record_allocation_t *next = account->record != NULL
					    ? allocation_copy(account->record)
					    : allocation_new();
	grant_holder_t own = {.granted = granted,
			      .state = close ? GRANT_RETURNED : GRANT_OPEN};

	for (guint i = 0; i < next->holders->len; i++) {
		grant_holder_t *holder =
			&g_array_index(next->holders, grant_holder_t, i);

		if (strcmp(holder->node, self->node) == 0 &&
		    strcmp(holder->incarnation, self->incarnation) != 0 &&
		    holder->state == GRANT_OPEN)
			holder->state = GRANT_LOST;
	}
	if (next->holders->len >= HOLDERS_MERGE_MIN)
		merge_ended(next, account, self);
	g_strlcpy(own.node, self->node, sizeof(own.node));
	g_strlcpy(own.incarnation, self->incarnation, sizeof(own.incarnation));
	if (granted > 0 || close)
		allocation_join_holder(next, &own);
	return next;
}
