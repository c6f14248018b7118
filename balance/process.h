/*
 * Which process is behind the address of a target.  An entry of the store
 * describes one process.  Another one may follow it under the same id, and its
 * entry comes later than its connections, or not at all while the store is
 * unavailable.  A target is in doubt from the moment at which its connections
 * end until it reports the start that its entry states, or until the entry of
 * the next process arrives.  It is asked for a report only if a stream depends
 * on it: many targets that are in doubt have ended.
 */
#ifndef BALANCE_PROCESS_H
#define BALANCE_PROCESS_H

#include "balance/target.h"

G_BEGIN_DECLS

typedef enum process_evidence_t {
	EVIDENCE_RESET, /* the target ended a connection */
	EVIDENCE_REFUSED, /* it accepts no connections */
	EVIDENCE_OTHER, /* it reports another start */
	EVIDENCE_PEER, /* a peer was refused, or got such a report */
} process_evidence_t;

void process_init(balance_t *balance);
void process_finish(balance_t *balance);

/*
 * Doubts the process of a target.  Only targets at which streams are taken up
 * again are doubted; it makes no difference to others.
 */
void process_doubt(balance_t *balance, balance_target_t *target,
		   process_evidence_t evidence);
/* A target has closed an idle connection. */
void process_closed(balance_t *balance, const msg_t *msg);
/* A check has found that a target accepts no connections. */
void process_refused(balance_t *balance, const char *id);
/* A peer doubts the process of a target. */
void process_told(balance_t *balance, const peer_body_t *body);

/* Tells a peer that has just connected of the processes that have ended. */
void process_tell_peer(balance_t *balance, const char *incarnation);

/* A stream depends on the process of a target in doubt. */
void process_want(balance_t *balance, balance_target_t *target);
bool process_is_known(const balance_target_t *target);
/* Whether the first report since the doubt may come soon. */
bool process_is_reporting(const balance_target_t *target);
/* The entry of another process has arrived. */
void process_replaced(balance_target_t *target);

/*
 * Asks a target which process it is, and tells the sender whether that is the
 * process that was listed.
 */
void process_verify(balance_t *balance, const msg_t *msg);
/* Asks for the reports that are due. */
void process_check(balance_t *balance);
/* A part of a report has come, or its end. */
void process_report_received(balance_t *balance, const msg_t *msg);

G_END_DECLS

#endif
