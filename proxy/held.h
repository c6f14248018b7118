/*
 * Quarantines in the store, for processes that start while no peer is there
 * that knows of them.  The instance that begins a quarantine writes it; each
 * process reads all when it starts.  Private to the service "proxy".
 */
#ifndef PROXY_HELD_H
#define PROXY_HELD_H

#include "proxy/proxy.h"

G_BEGIN_DECLS

void held_init(held_t *held);
void held_finish(held_t *held);

/* Starts to read the quarantines in force. */
void held_load(proxy_t *proxy);
/* Has the quarantine of a request, or of parts of prompts, written soon. */
void held_save_request(proxy_t *proxy, const quarantine_news_t *news);
/* Has the record of a request removed that is not in quarantine any more. */
void held_remove_request(proxy_t *proxy, const char *fingerprint);
void held_save_parts(proxy_t *proxy, const part_sentence_t *sentence);
/* Has the record of a set removed that is not in quarantine any more. */
void held_remove_parts(proxy_t *proxy, const part_set_t *set);
void held_timed_out(proxy_t *proxy);
void held_store_result(proxy_t *proxy, const msg_t *msg);

G_END_DECLS

#endif
