#include "route/pick.h"

#include <math.h>
#include <string.h>

#define RING_POINTS_PER_TARGET 8
#define RING_TARGETS_TRIED_MAX 3 /* limit before ignoring the prefix */
#define STALE_SCORES_MAX 8 /* outdated scores updated in one selection */
/*
 * Random part of the score.  The jitter spreads the selections of routers that
 * have the same information, and the selections of one router among idle
 * targets, so that every target gets work and can be compared with its peers.
 */
#define SCORE_JITTER 0.02

static bool is_local(const route_t *route, const target_t *target)
{
	return strcmp(target->record.availability_zone,
		      route->availability_zone) == 0;
}

static bool has_room(const route_t *route, const target_t *target,
		     work_class_t work)
{
	if (target_running(target) >= target_limit(route, target, WORK_SHORT))
		return false;
	return work == WORK_SHORT ||
	       target->running[WORK_LONG] < target_limit(route, target, work);
}

/*
 * Returns the load from this router's own work.  Load reports include the work
 * of all routers but are 2 s late: if they counted here, all routers would go
 * to the same targets at once.  Reports only limit the work on a target.
 */
static double own_load(const route_t *route, const target_t *target)
{
	return (target_running(target) + 1) / target_share(route, target);
}

static double compute_score(const route_t *route, const target_t *target,
			    work_class_t work)
{
	double score;

	if (!target->configured || !has_room(route, target, work))
		return INFINITY;
	/* Probe targets go first: without work they can't be readmitted. */
	if (target->state == TARGET_PROBING)
		return -1;
	score = own_load(route, target) +
		SCORE_JITTER *
			(double)kernel_random_below(route->kernel, 1024) / 1024;
	/* Another zone costs a few ms more, which is less than queueing. */
	if (!is_local(route, target))
		score += route->policy->zone_spill_percent / 100.0;
	return score;
}

static target_t *target_at(const GPtrArray *heap, uint32_t index)
{
	return g_ptr_array_index(heap, index);
}

static void heap_set(GPtrArray *heap, work_class_t work, uint32_t index,
		     target_t *target)
{
	heap->pdata[index] = target;
	target->heap_index[work] = index;
}

static void heap_sift(GPtrArray *heap, work_class_t work, uint32_t index)
{
	target_t *target = target_at(heap, index);
	double score = target->score[work];
	uint32_t child;

	while (index > 0 &&
	       score < target_at(heap, (index - 1) / 2)->score[work]) {
		heap_set(heap, work, index, target_at(heap, (index - 1) / 2));
		index = (index - 1) / 2;
	}
	while ((child = 2 * index + 1) < heap->len) {
		if (child + 1 < heap->len &&
		    target_at(heap, child + 1)->score[work] <
			    target_at(heap, child)->score[work])
			child++;
		if (target_at(heap, child)->score[work] >= score)
			break;
		heap_set(heap, work, index, target_at(heap, child));
		index = child;
	}
	heap_set(heap, work, index, target);
}

void pick_update(const route_t *route, target_t *target)
{
	if (!target->configured)
		return;
	for (int work = 0; work < WORK_COUNT; work++) {
		target->score[work] = compute_score(route, target, work);
		heap_sift(target->group->heap[work], work,
			  target->heap_index[work]);
	}
}

/* Applies the finalizer of MurmurHash3. */
static uint64_t hash_mix(uint64_t x)
{
	x ^= x >> 33;
	x *= UINT64_C(0xff51afd7ed558ccd);
	x ^= x >> 33;
	x *= UINT64_C(0xc4ceb9fe1a85ec53);
	return x ^ (x >> 33);
}

static gint compare_points(gconstpointer a, gconstpointer b)
{
	const ring_point_t *x = a, *y = b;

	if (x->hash != y->hash)
		return x->hash < y->hash ? -1 : 1;
	return 0;
}

/*
 * The ring points depend only on target names, so that all routers of a zone
 * send a prefix to the same target.  The ring holds the targets of the router's
 * own zone, or all targets if the zone has none.
 */
static void rebuild_ring(const route_t *route, group_t *group)
{
	bool local = false;

	g_array_set_size(group->ring, 0);
	for (guint i = 0; i < group->targets->len; i++)
		local = local || is_local(route, target_at(group->targets, i));
	for (guint i = 0; i < group->targets->len; i++) {
		ring_point_t point = {.target = target_at(group->targets, i)};
		uint64_t hash = g_str_hash(point.target->record.name);

		if (local && !is_local(route, point.target))
			continue;
		for (uint64_t n = 0; n < RING_POINTS_PER_TARGET; n++) {
			point.hash = hash_mix((hash << 8) + n);
			g_array_append_val(group->ring, point);
		}
	}
	g_array_sort(group->ring, compare_points);
}

void pick_rebuild(const route_t *route, group_t *group)
{
	group->long_share = 0;
	group->available = 0;
	for (int work = 0; work < WORK_COUNT; work++)
		g_ptr_array_set_size(group->heap[work], 0);
	for (guint i = 0; i < group->targets->len; i++) {
		target_t *target = target_at(group->targets, i);

		group->long_share += target_long_share(route, target);
		for (int work = 0; work < WORK_COUNT; work++) {
			target->heap_index[work] = i;
			target->score[work] = INFINITY;
			g_ptr_array_add(group->heap[work], target);
		}
	}
	for (guint i = 0; i < group->targets->len; i++)
		pick_update(route, target_at(group->targets, i));
	rebuild_ring(route, group);
}

/* A hedge is never sent as a probe, because it has to be fast. */
static bool is_excluded(const route_req_t *req, const target_t *target)
{
	if (req->hedge && target->state == TARGET_PROBING)
		return true;
	for (uint32_t i = 0; i < req->avoid_count; i++) {
		if (handle_equal(req->avoid[i], target->self))
			return true;
	}
	return false;
}

/*
 * Finds the best target in the subtree at index.  The search descends only
 * below excluded targets, of which there are few.
 */
static target_t *heap_best(const GPtrArray *heap, const route_req_t *req,
			   uint32_t index)
{
	target_t *target, *left, *right;

	if (index >= heap->len)
		return NULL;
	target = target_at(heap, index);
	if (isinf(target->score[req->work]))
		return NULL;
	if (!is_excluded(req, target))
		return target;
	left = heap_best(heap, req, 2 * index + 1);
	right = heap_best(heap, req, 2 * index + 2);
	if (left == NULL ||
	    (right != NULL && right->score[req->work] < left->score[req->work]))
		return right;
	return left;
}

static uint32_t ring_lower_bound(const GArray *ring, uint64_t hash)
{
	uint32_t low = 0, high = ring->len;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (g_array_index(ring, ring_point_t, middle).hash < hash)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/*
 * Returns the target that probably has the prefix in its cache, unless its load
 * is well above the mean: a cache hit saves less time than queueing costs.
 */
static target_t *pick_by_prefix(const route_t *route, const route_req_t *req)
{
	const group_t *group = req->group;
	uint32_t running = group->running[0] + group->running[1];
	double bound = (running + 1.0) / MAX(group->targets->len, 1) *
		       route->policy->affinity_percent / 100.0;
	uint32_t start, tried = 0;
	target_t *target, *last = NULL;

	if (req->prefix_hash == 0 || req->hedge || group->ring->len == 0)
		return NULL;
	start = ring_lower_bound(group->ring, hash_mix(req->prefix_hash));
	for (uint32_t i = 0;
	     i < group->ring->len && tried < RING_TARGETS_TRIED_MAX; i++) {
		target = g_array_index(group->ring, ring_point_t,
				       (start + i) % group->ring->len)
				 .target;
		if (target == last)
			continue;
		last = target;
		tried++;
		if (target->state == TARGET_ACTIVE &&
		    !is_excluded(req, target) &&
		    has_room(route, target, req->work) &&
		    target_running(target) < ceil(bound))
			return target;
	}
	return NULL;
}

target_t *pick_target(const route_t *route, const route_req_t *req)
{
	target_t *target = pick_by_prefix(route, req);

	if (target != NULL)
		return target;
	for (int i = 0; i < STALE_SCORES_MAX; i++) {
		target = heap_best(req->group->heap[req->work], req, 0);
		if (target == NULL || has_room(route, target, req->work))
			return target;
		pick_update(route, target);
	}
	return NULL;
}
