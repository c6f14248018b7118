#include "peer/bodies.h"

#define BODY_TEXT(kind, member)                                            \
	{                                                                  \
#member, FIELD_TEXT, offsetof(peer_body_t, u.kind.member), \
			sizeof(((peer_body_t *)NULL)->u.kind.member)       \
	}
#define BODY_U64(kind, member)                                            \
	{                                                                 \
#member, FIELD_U64, offsetof(peer_body_t, u.kind.member), \
			UINT64_MAX                                        \
	}
#define BODY_I64(kind, member)                                            \
	{                                                                 \
#member, FIELD_I64, offsetof(peer_body_t, u.kind.member), \
			INT64_MAX                                         \
	}
#define BODY_BOOL(kind, member)                                              \
	{                                                                    \
#member, FIELD_BOOL, offsetof(peer_body_t, u.kind.member), 1 \
	}

static const field_t heartbeat_fields[] = {
	BODY_I64(heartbeat, conf_revision),
};
static const field_t conf_pull_fields[] = {
	BODY_I64(conf_pull, from_revision),
};
static const field_t conf_items_fields[] = {
	BODY_I64(conf_items, up_to_revision),
};
static const field_t bill_copy_fields[] = {
	BODY_U64(bill_copy, session),
	BODY_U64(bill_copy, seq),
	BODY_BOOL(bill_copy, reset),
};
static const field_t copy_ack_fields[] = {
	BODY_U64(copy_ack, session),
	BODY_U64(copy_ack, seq),
	BODY_BOOL(copy_ack, rejected),
};
static const field_t copy_trim_fields[] = {
	BODY_U64(copy_trim, session),
	BODY_U64(copy_trim, up_to),
};
static const field_t slice_fields[] = {
	BODY_TEXT(slice, client_account),
	BODY_TEXT(slice, budget),
	BODY_I64(slice, tokens),
};
static const field_t refill_request_fields[] = {
	BODY_TEXT(refill_request, client_account),
	BODY_I64(refill_request, tokens),
	BODY_I64(refill_request, least),
};
static const field_t refill_reply_fields[] = {
	BODY_TEXT(refill_reply, client_account),
	BODY_I64(refill_reply, tokens),
	BODY_I64(refill_reply, most),
	BODY_BOOL(refill_reply, spent),
	BODY_BOOL(refill_reply, later),
};
static const field_t crash_report_fields[] = {
	BODY_TEXT(crash_report, fingerprint),
	BODY_TEXT(crash_report, target),
	BODY_TEXT(crash_report, reporter),
	BODY_U64(crash_report, seq),
};

static const field_t quarantine_fields[] = {
	BODY_TEXT(quarantine, fingerprint),
	BODY_U64(quarantine, crashes),
	BODY_U64(quarantine, age_ms),
	BODY_U64(quarantine, left_ms),
};

static const field_t store_pull_fields[] = {
	BODY_I64(store_pull, after),
};
static const field_t store_items_fields[] = {
	BODY_I64(store_items, after),
	BODY_I64(store_items, up_to),
	BODY_BOOL(store_items, live),
	BODY_BOOL(store_items, partial),
};

static const field_t placed_fields[] = {
	BODY_TEXT(placed, target),
	BODY_I64(placed, tokens),
};

static const field_t part_report_fields[] = {
	{"event", FIELD_ENUM, offsetof(peer_body_t, u.part_report.event),
	 PART_EVENT_COUNT - 1},
	BODY_U64(part_report, part),
	BODY_U64(part_report, request),
	BODY_TEXT(part_report, target),
	BODY_U64(part_report, weight),
	BODY_U64(part_report, age_ms),
	BODY_U64(part_report, left_ms),
	BODY_U64(part_report, strikes),
};

static const field_t part_set_fields[] = {
	{"event", FIELD_ENUM, offsetof(peer_body_t, u.part_set.event),
	 PART_EVENT_COUNT - 1},
	BODY_U64(part_set, age_ms),
	BODY_U64(part_set, left_ms),
	BODY_U64(part_set, strikes),
	BODY_U64(part_set, decided.target),
	BODY_U64(part_set, decided.age_ms),
};

#define BODY_LIMIT(body)                                                  \
	{"kind", FIELD_ENUM, offsetof(peer_body_t, u.body.limit.kind),    \
	 LIMIT_STATED},                                                   \
		{"per_ks", FIELD_U32,                                     \
		 offsetof(peer_body_t, u.body.limit.per_ks), UINT32_MAX}, \
		BODY_U64(body, age_us)

static const field_t leaving_fields[] = {
	BODY_TEXT(leaving, target),
	BODY_I64(leaving, started_ms),
	BODY_U64(leaving, age_us),
};
static const field_t doubted_fields[] = {
	BODY_TEXT(doubted, target),
	BODY_I64(doubted, started_ms),
};
static const field_t full_fields[] = {
	BODY_TEXT(full, target),
	BODY_I64(full, started_ms),
	BODY_U64(full, pause_us),
};
static const field_t overload_fields[] = {
	BODY_BOOL(overload, behind),
};
static const field_t limit_fields[] = {
	BODY_TEXT(limit, target),
	BODY_LIMIT(limit),
};
static const field_t permit_request_fields[] = {
	BODY_TEXT(permit_request, target),
	BODY_U64(permit_request, ask),
	BODY_U64(permit_request, wait_us),
	{"priority", FIELD_U32,
	 offsetof(peer_body_t, u.permit_request.priority), UINT32_MAX},
	BODY_LIMIT(permit_request),
};
static const field_t permit_reply_fields[] = {
	BODY_TEXT(permit_reply, target),   BODY_U64(permit_reply, ask),
	BODY_BOOL(permit_reply, admitted), BODY_U64(permit_reply, delay_us),
	BODY_LIMIT(permit_reply),
};

static const field_t conf_offer_fields[] = {
	BODY_I64(conf_offer, version),
};

static const field_t holdings_fields[] = {
	BODY_I64(holdings, era),
	BODY_BOOL(holdings, complete),
	BODY_BOOL(holdings, in_store),
};

static const field_t stream_fields[] = {
	BODY_TEXT(stream, request_id),
	BODY_U64(stream, lookup),
	{"answer", FIELD_ENUM, offsetof(peer_body_t, u.stream.answer),
	 STREAM_ANSWER_COUNT - 1},
	BODY_TEXT(stream, origin.service),
	BODY_TEXT(stream, origin.account),
	BODY_TEXT(stream, origin.version),
};

fields_t peer_body_fields(peer_kind_t kind)
{
	switch (kind) {
	case PEER_HEARTBEAT:
		return FIELDS_OF(heartbeat_fields);
	case PEER_CONF_PULL:
		return FIELDS_OF(conf_pull_fields);
	case PEER_CONF_ITEMS:
		return FIELDS_OF(conf_items_fields);
	case PEER_BILL_COPY:
		return FIELDS_OF(bill_copy_fields);
	case PEER_COPY_ACK:
		return FIELDS_OF(copy_ack_fields);
	case PEER_COPY_TRIM:
		return FIELDS_OF(copy_trim_fields);
	case PEER_SLICE_REQUEST:
	case PEER_SLICE_REPLY:
		return FIELDS_OF(slice_fields);
	case PEER_REFILL_REQUEST:
		return FIELDS_OF(refill_request_fields);
	case PEER_REFILL_REPLY:
		return FIELDS_OF(refill_reply_fields);
	case PEER_CRASH_REPORT:
		return FIELDS_OF(crash_report_fields);
	case PEER_STORE_PULL:
		return FIELDS_OF(store_pull_fields);
	case PEER_STORE_ITEMS:
		return FIELDS_OF(store_items_fields);
	case PEER_PLACED:
		return FIELDS_OF(placed_fields);
	case PEER_PART_REPORT:
		return FIELDS_OF(part_report_fields);
	case PEER_PART_SET:
		return FIELDS_OF(part_set_fields);
	case PEER_TARGET_LEAVING:
		return FIELDS_OF(leaving_fields);
	case PEER_TARGET_LIMIT:
		return FIELDS_OF(limit_fields);
	case PEER_PERMIT_REQUEST:
		return FIELDS_OF(permit_request_fields);
	case PEER_PERMIT_REPLY:
		return FIELDS_OF(permit_reply_fields);
	case PEER_CONF_OFFER:
	case PEER_CONF_REQUEST:
		return FIELDS_OF(conf_offer_fields);
	case PEER_HOLDINGS_PULL:
	case PEER_HOLDINGS:
		return FIELDS_OF(holdings_fields);
	case PEER_STREAM_BEGAN:
	case PEER_STREAM_QUERY:
	case PEER_STREAM_ANSWER:
		return FIELDS_OF(stream_fields);
	case PEER_QUARANTINE:
		return FIELDS_OF(quarantine_fields);
	case PEER_TARGET_DOUBTED:
		return FIELDS_OF(doubted_fields);
	case PEER_TARGET_FULL:
		return FIELDS_OF(full_fields);
	case PEER_OVERLOAD:
		return FIELDS_OF(overload_fields);
	case PEER_LEAVE:
	case PEER_KIND_COUNT:
		break;
	}
	return (fields_t){NULL, 0};
}
