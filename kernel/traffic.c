#include "kernel/traffic.h"

uint64_t traffic_on_link(size_t payload)
{
	size_t packets =
		(payload + TRAFFIC_PACKET_SIZE - 1) / TRAFFIC_PACKET_SIZE;

	return payload + packets * TRAFFIC_PACKET_HEADER;
}

void traffic_received(traffic_t *traffic, size_t payload)
{
	traffic->in += traffic_on_link(payload);
}

void traffic_sent(traffic_t *traffic, size_t payload)
{
	traffic->out += traffic_on_link(payload);
}
