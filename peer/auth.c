/*
 * Authentication of peers by an HMAC with a shared key.
 */
#include "peer/conn.h"

#include <string.h>
#include <sys/random.h>

bool peer_auth_nonce(uint8_t nonce[PEER_NONCE_SIZE])
{
	return getrandom(nonce, PEER_NONCE_SIZE, 0) == PEER_NONCE_SIZE;
}

/*
 * The role in the HMAC prevents a proof from being reflected to its sender.
 * The hellos contain the nonces and bind the claimed identities to the proof.
 */
void peer_auth_proof(const char *key, bool by_dialler,
		     const GByteArray *dialler, const GByteArray *listener,
		     uint8_t proof[PEER_PROOF_SIZE])
{
	GHmac *hmac =
		g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key, strlen(key));
	gsize len = PEER_PROOF_SIZE;

	g_hmac_update(hmac,
		      (const guchar *)(by_dialler ? "dialler:" : "listener"),
		      8);
	/*
	 * Each hello begins with its length, so that no byte can be moved from
	 * one hello to the other without changing the HMAC.
	 */
	g_hmac_update(hmac, dialler->data, dialler->len);
	g_hmac_update(hmac, listener->data, listener->len);
	g_hmac_get_digest(hmac, proof, &len);
	g_hmac_unref(hmac);
}

bool peer_auth_equal(const uint8_t *a, const uint8_t *b, size_t len)
{
	uint8_t diff = 0;

	for (size_t i = 0; i < len; i++)
		diff |= a[i] ^ b[i];
	return diff == 0;
}
