/*
 * Bytes that the process has moved over its link, by direction.  The headers
 * of packets are estimated: one packet for each call to the operating system
 * and for each further TRAFFIC_PACKET_SIZE bytes.
 */
#ifndef KERNEL_TRAFFIC_H
#define KERNEL_TRAFFIC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

#define TRAFFIC_PACKET_SIZE 1448 /* bytes of payload */
#define TRAFFIC_PACKET_HEADER 40 /* bytes of IP and TCP */

typedef struct traffic_t {
	uint64_t in; /* bytes since the start */
	uint64_t out;
} traffic_t;

/* Returns the bytes on the link for a payload. */
uint64_t traffic_on_link(size_t payload);
void traffic_received(traffic_t *traffic, size_t payload);
void traffic_sent(traffic_t *traffic, size_t payload);

G_END_DECLS

#endif
