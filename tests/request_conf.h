// Fixtures of the request tests: a configuration with an enabled and a disabled
// client account and two services, and request specifications for it.
#ifndef TESTS_REQUEST_CONF_H
#define TESTS_REQUEST_CONF_H

#include "request/request.h"

#include <string>

inline conf_snapshot_t *request_conf(uint32_t max_requests)
{
	conf_snapshot_t *conf = conf_snapshot_new();
	record_client_account_t account = {};
	record_service_t chat = {}, order = {};

	g_strlcpy(account.name, "acme", NAME_SIZE);
	account.max_requests = max_requests;
	account.key_count = 1;
	g_strlcpy(account.keys[0].hash, "key", HASH_SIZE);
	g_strlcpy(account.keys[0].budget, "main", NAME_SIZE);
	g_array_append_val(conf->client_accounts, account);
	g_hash_table_insert(conf->by_key_hash, g_strdup("key"),
			    GUINT_TO_POINTER(1));
	g_strlcpy(account.name, "gone", NAME_SIZE);
	g_strlcpy(account.keys[0].hash, "disabled", HASH_SIZE);
	account.disabled = true;
	g_array_append_val(conf->client_accounts, account);
	g_hash_table_insert(conf->by_key_hash, g_strdup("disabled"),
			    GUINT_TO_POINTER(2));
	g_strlcpy(chat.name, "chat", NAME_SIZE);
	chat.kind = SERVICE_MODEL;
	chat.idempotent = true;
	chat.deadline_ms = 2000;
	chat.max_tokens = 100;
	chat.max_body = 1000;
	g_array_append_val(conf->services, chat);
	g_strlcpy(order.name, "order", NAME_SIZE);
	order.kind = SERVICE_PLAIN;
	g_strlcpy(order.path_prefix, "/order", PATH_SIZE);
	order.deadline_ms = 2000;
	order.call_tokens = 30;
	g_array_append_val(conf->services, order);
	return conf;
}

inline request_spec_t *request_spec(bool idempotent, const std::string &key,
				    const std::string &fingerprint)
{
	request_spec_t *spec = request_spec_new();

	g_strlcpy(spec->key_hash, "key", HASH_SIZE);
	if (idempotent)
		g_strlcpy(spec->service, "chat", NAME_SIZE);
	g_strlcpy(spec->path, idempotent ? "/v1/completions" : "/order/1",
		  PATH_SIZE);
	g_strlcpy(spec->idem_key, key.c_str(), IDEM_KEY_SIZE);
	g_strlcpy(spec->fingerprint, fingerprint.c_str(), HASH_SIZE);
	spec->body = g_bytes_new("0123456789abcdefghij", 20);
	return spec;
}

#endif
