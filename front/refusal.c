#include "front/refusal.h"

#include <json-glib/json-glib.h>

typedef struct refusal_entry_t {
	/* Reason named in the response instead of the real one. */
	refusal_t reported;
	uint16_t status;
	uint16_t retry_after_s;
	const char *message;
} refusal_entry_t;

static const refusal_entry_t table[REFUSAL_COUNT] = {
	[REFUSAL_NONE] = {REFUSAL_INTERNAL, 500, 0, "internal error"},
	[REFUSAL_UNAUTHENTICATED] = {REFUSAL_UNAUTHENTICATED, 401, 0,
				     "the API key is missing or not valid"},
	[REFUSAL_BAD_REQUEST] = {REFUSAL_BAD_REQUEST, 400, 0,
				 "the request is not valid"},
	[REFUSAL_NO_SERVICE] = {REFUSAL_NO_SERVICE, 404, 0,
				"no service has this model or path"},
	[REFUSAL_TOO_LARGE] = {REFUSAL_TOO_LARGE, 413, 0,
			       "the request is too large"},
	[REFUSAL_TOO_MANY_REQUESTS] = {REFUSAL_TOO_MANY_REQUESTS, 429, 1,
				       "too many requests in progress"},
	[REFUSAL_BUDGET_SPENT] = {REFUSAL_BUDGET_SPENT, 402, 0,
				  "the budget does not cover the request"},
	[REFUSAL_BUDGET_UNAVAILABLE] = {REFUSAL_BUDGET_UNAVAILABLE, 503, 5,
					"the budget cannot be drawn on now"},
	[REFUSAL_BILL_REFUSED] = {REFUSAL_BILL_REFUSED, 503, 5,
				  "the answer could not be billed"},
	[REFUSAL_KEY_MISMATCH] = {REFUSAL_KEY_MISMATCH, 422, 0,
				  "the idempotency key was used with another "
				  "request"},
	[REFUSAL_OUTCOME_UNKNOWN] = {REFUSAL_OUTCOME_UNKNOWN, 409, 0,
				     "the outcome of the request with this "
				     "idempotency key is not known"},
	[REFUSAL_CLAIM_UNAVAILABLE] = {REFUSAL_CLAIM_UNAVAILABLE, 503, 5,
				       "requests that run at most once are "
				       "not accepted now"},
	[REFUSAL_QUARANTINED] = {REFUSAL_QUARANTINED, 422, 0,
				 "targets failed repeatedly on this request"},
	[REFUSAL_DEADLINE] = {REFUSAL_DEADLINE, 504, 0,
			      "the deadline has passed"},
	[REFUSAL_QUEUE_FULL] = {REFUSAL_QUEUE_FULL, 429, 1,
				"too many requests wait for a target"},
	[REFUSAL_OVERLOADED] = {REFUSAL_OVERLOADED, 429, 1,
				"the service is overloaded"},
	[REFUSAL_NO_TARGET] = {REFUSAL_NO_TARGET, 503, 2,
			       "no target is available"},
	[REFUSAL_VERSION_UNKNOWN] = {REFUSAL_VERSION_UNKNOWN, 503, 2,
				     "it is not known at which version of its "
				     "service the stream began"},
	[REFUSAL_TARGET_FAILED] = {REFUSAL_TARGET_FAILED, 502, 0,
				   "the target failed"},
	[REFUSAL_RETRIES_SPENT] = {REFUSAL_RETRIES_SPENT, 502, 0,
				   "the target failed and no retry is left"},
	[REFUSAL_NO_CONFIGURATION] = {REFUSAL_NO_CONFIGURATION, 503, 1,
				      "no configuration is known yet"},
	[REFUSAL_CONF_BEHIND] = {REFUSAL_CONF_BEHIND, 503, 1,
				 "a newer configuration is being read"},
	[REFUSAL_NO_ROUTE] = {REFUSAL_NO_ROUTE, 404, 0,
			      "no route has this host and path"},
	[REFUSAL_NOT_GENUINE] = {REFUSAL_NOT_GENUINE, 502, 0,
				 "the target's answer was not whole"},
	[REFUSAL_STOPPING] = {REFUSAL_STOPPING, 503, 1,
			      "this router is stopping"},
	[REFUSAL_BEHIND] = {REFUSAL_BEHIND, 503, 1,
			    "this instance is behind with its requests"},
	[REFUSAL_OVER_CAPACITY] = {REFUSAL_OVER_CAPACITY, 503, 1,
				   "this instance has no capacity left"},
	[REFUSAL_UNREACHABLE] = {REFUSAL_UNREACHABLE, 503, 1,
				 "no target is reached from here"},
	[REFUSAL_CALLER_GONE] = {REFUSAL_CALLER_GONE, 499, 0,
				 "the caller has disconnected"},
	[REFUSAL_INTERNAL] = {REFUSAL_INTERNAL, 500, 0, "internal error"},
};

static const refusal_entry_t *get_entry(refusal_t reason)
{
	return &table[reason < REFUSAL_COUNT ? reason : REFUSAL_INTERNAL];
}

uint32_t refusal_status(refusal_t reason)
{
	return get_entry(reason)->status;
}

const char *refusal_message(refusal_t reason)
{
	return get_entry(reason)->message;
}

uint32_t refusal_retry_after(refusal_t reason, uint32_t override_s)
{
	uint32_t default_s = get_entry(reason)->retry_after_s;

	return default_s > 0 && override_s > 0 ? override_s : default_s;
}

char *refusal_json(refusal_t reason, run_state_t run, const char *request_id,
		   const char *detail)
{
	const refusal_entry_t *entry = get_entry(reason);
	JsonObject *error = json_object_new();
	JsonObject *object = json_object_new();
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_object_set_string_member(error, "type",
				      refusal_name(entry->reported));
	json_object_set_string_member(error, "message",
				      detail != NULL ? detail : entry->message);
	json_object_set_string_member(error, "run_state", run_state_name(run));
	json_object_set_string_member(error, "request_id", request_id);
	json_object_set_object_member(object, "error", error);
	json_node_take_object(root, object);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	return text;
}
