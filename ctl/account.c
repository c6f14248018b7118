/*
 * Commands on client accounts and their API keys.
 */
#include "ctl/command.h"
#include "ctl/records.h"

#include <string.h>
#include <sys/random.h>

#define API_KEY_BYTES 24 /* 192 bits */
#define WEIGHT_DEFAULT 100
#define WEIGHT_MAX 1000
#define MAX_REQUESTS_MAX 1000000
#define HASH_PREFIX_MIN 8 /* characters of a hash that identify a key */

/* Generates a random API key.  The store receives only its hash. */
static ctl_status_t make_api_key(ctl_t *ctl, char **api_key, char *hash)
{
	guchar bytes[API_KEY_BYTES];
	g_autofree char *random_text = NULL;
	g_autofree char *digest = NULL;

	if (getrandom(bytes, sizeof(bytes), 0) != sizeof(bytes)) {
		errmsg_set(&ctl->err,
			   "cannot generate an API key: no random bytes");
		return CTL_FAILED;
	}
	random_text = g_base64_encode(bytes, sizeof(bytes));
	explicit_bzero(bytes, sizeof(bytes));
	/* The URL-safe alphabet needs no quoting in shells and headers. */
	g_strdelimit(random_text, "+", '-');
	g_strdelimit(random_text, "/", '_');
	*api_key = g_strconcat("tt-", random_text, NULL);
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, *api_key, -1);
	g_strlcpy(hash, digest, HASH_SIZE);
	explicit_bzero(random_text, strlen(random_text));
	return CTL_OK;
}

static ctl_status_t add_key(ctl_t *ctl, record_client_account_t *account,
			    const char *budget, char **api_key)
{
	api_key_t *key;

	if (budget == NULL)
		budget = DEFAULT_BUDGET;
	if (!name_is_valid(budget)) {
		errmsg_set(&ctl->err, "--budget: %.40s is not a name", budget);
		return CTL_USAGE;
	}
	if (account->key_count >= CLIENT_ACCOUNT_KEYS) {
		errmsg_set(&ctl->err, "%s has %d API keys already, remove one",
			   account->name, CLIENT_ACCOUNT_KEYS);
		return CTL_REFUSED;
	}
	key = &account->keys[account->key_count++];
	g_strlcpy(key->budget, budget, sizeof(key->budget));
	return make_api_key(ctl, api_key, key->hash);
}

static ctl_status_t set_limits(ctl_t *ctl, const args_t *args,
			       record_client_account_t *account)
{
	ctl_status_t status;

	status = args_get_int(ctl, "weight", args->weight, 1, WEIGHT_MAX,
			      &account->weight);
	if (status == CTL_OK)
		status =
			args_get_int(ctl, "max-requests", args->max_requests, 0,
				     MAX_REQUESTS_MAX, &account->max_requests);
	return status;
}

static void print_key(ctl_t *ctl, const char *name, const char *api_key)
{
	JsonObject *object = json_object_new();

	json_object_set_string_member(object, "client_account", name);
	json_object_set_string_member(object, "api_key", api_key);
	json_object_set_string_member(object, "note",
				      "the key is not shown again");
	ctl_print_object(ctl, object);
}

static ctl_status_t create(ctl_t *ctl, const args_t *args)
{
	const char *name = args->names[0];
	char *api_key = NULL;
	store_kv_t kv;
	record_client_account_t *account = &kv.record.u.client_account;
	bool is_new;
	ctl_status_t status =
		ctl_get_or_new(ctl, RECORD_CLIENT_ACCOUNT, name, &kv, &is_new);

	if (status == CTL_OK && !is_new) {
		errmsg_set(&ctl->err, "client account %s already exists", name);
		status = CTL_REFUSED;
	}
	if (status != CTL_OK)
		goto out;
	g_strlcpy(account->name, name, sizeof(account->name));
	account->weight = WEIGHT_DEFAULT;
	status = set_limits(ctl, args, account);
	if (status == CTL_OK)
		status = add_key(ctl, account, args->budget, &api_key);
	if (status == CTL_OK)
		status = ctl_put_record(ctl, &kv);
	if (status == CTL_OK)
		print_key(ctl, name, api_key);
out:
	record_clear(&kv.record);
	g_free(api_key);
	return status;
}

static ctl_status_t remove_key(ctl_t *ctl, record_client_account_t *account,
			       const char *hash)
{
	if (strlen(hash) < HASH_PREFIX_MIN) {
		errmsg_set(&ctl->err, "HASH: expected at least %d characters",
			   HASH_PREFIX_MIN);
		return CTL_USAGE;
	}
	for (uint32_t i = 0; i < account->key_count; i++) {
		if (g_str_has_prefix(account->keys[i].hash, hash)) {
			account->keys[i] = account->keys[--account->key_count];
			return CTL_OK;
		}
	}
	errmsg_set(&ctl->err, "%s has no API key %.64s", account->name, hash);
	return CTL_REFUSED;
}

static ctl_status_t apply_command(ctl_t *ctl, const args_t *args,
				  record_client_account_t *account,
				  char **api_key)
{
	switch (args->command) {
	case COMMAND_ACCOUNT_DISABLE:
		account->disabled = true;
		return CTL_OK;
	case COMMAND_ACCOUNT_ENABLE:
		account->disabled = false;
		return CTL_OK;
	case COMMAND_ACCOUNT_REMOVE:
		account->removed = true;
		account->key_count = 0;
		return CTL_OK;
	case COMMAND_ACCOUNT_SET:
		return set_limits(ctl, args, account);
	case COMMAND_KEY_ADD:
		return add_key(ctl, account, args->budget, api_key);
	case COMMAND_KEY_REMOVE:
		return remove_key(ctl, account, args->names[1]);
	default:
		return CTL_USAGE;
	}
}

static ctl_status_t change(ctl_t *ctl, const args_t *args)
{
	const char *name = args->names[0];
	char *api_key = NULL;
	store_kv_t kv;
	ctl_status_t status =
		ctl_get_named(ctl, RECORD_CLIENT_ACCOUNT, name, &kv);

	if (status == CTL_OK)
		status = apply_command(ctl, args, &kv.record.u.client_account,
				       &api_key);
	if (status == CTL_OK)
		status = ctl_put_record(ctl, &kv);
	if (status == CTL_OK && api_key != NULL)
		print_key(ctl, name, api_key);
	else if (status == CTL_OK)
		ctl_print_message(ctl, "client account %s changed", name);
	record_clear(&kv.record);
	g_free(api_key);
	return status;
}

ctl_status_t account_run(ctl_t *ctl, const args_t *args)
{
	switch (args->command) {
	case COMMAND_ACCOUNT_CREATE:
		return create(ctl, args);
	case COMMAND_ACCOUNT_LIST:
		return ctl_print_list(ctl, "conf/account/");
	case COMMAND_ACCOUNT_SHOW:
		return ctl_print_named(ctl, RECORD_CLIENT_ACCOUNT,
				       args->names[0]);
	default:
		return change(ctl, args);
	}
}
