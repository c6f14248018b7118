// Helpers for tests that use the default main context: pump() runs the context
// until a condition holds, and Client is a plain TCP client.  The limits on
// iterations and time in pump() only end a test that has failed.
#ifndef TESTS_PUMP_H
#define TESTS_PUMP_H

#include <functional>
#include <gio/gio.h>
#include <string>
#include <sys/socket.h>

inline gboolean keep_ticking(gpointer)
{
	return G_SOURCE_CONTINUE;
}

inline bool pump(const std::function<bool()> &done, int iterations = 200000)
{
	guint tick = g_timeout_add(1, keep_ticking, nullptr);
	gint64 deadline = g_get_monotonic_time() + 20 * G_USEC_PER_SEC;
	bool ok;

	while (!(ok = done()) && iterations-- > 0 &&
	       g_get_monotonic_time() < deadline)
		g_main_context_iteration(nullptr, TRUE);
	g_source_remove(tick);
	return ok;
}

class Client
{
      public:
	// A receive buffer of 0 bytes leaves the size to the system.
	explicit Client(uint16_t port, int receive_buffer = 0)
	{
		GSocketAddress *address = g_inet_socket_address_new_from_string(
			"127.0.0.1", port);

		socket =
			g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, nullptr);
		if (receive_buffer > 0)
			g_socket_set_option(socket, SOL_SOCKET, SO_RCVBUF,
					    receive_buffer, nullptr);
		connected = g_socket_connect(socket, address, nullptr, nullptr);
		g_socket_set_blocking(socket, FALSE);
		g_object_unref(address);
	}
	~Client()
	{
		g_object_unref(socket);
	}
	void send(const std::string &text)
	{
		size_t sent = 0;

		pump([&] {
			gssize n = g_socket_send(socket, text.data() + sent,
						 text.size() - sent, nullptr,
						 nullptr);
			sent += n > 0 ? (size_t)n : 0;
			return sent == text.size();
		});
	}
	// Sends a short text without running the context.
	void send_at_once(const std::string &text)
	{
		g_socket_send(socket, text.data(), text.size(), nullptr,
			      nullptr);
	}
	// Reads all bytes that have arrived.
	void read()
	{
		char buffer[65536];
		gssize n;

		while ((n = g_socket_receive(socket, buffer, sizeof(buffer),
					     nullptr, nullptr)) > 0)
			in.append(buffer, (size_t)n);
		closed = closed || n == 0;
	}
	bool wait_for(const std::string &text)
	{
		return pump([&] {
			read();
			return in.find(text) != std::string::npos;
		});
	}
	bool wait_closed()
	{
		return pump([&] {
			read();
			return closed;
		});
	}
	void close()
	{
		g_socket_close(socket, nullptr);
	}
	void reset()
	{
		struct linger linger = {1, 0};

		setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER,
			   &linger, sizeof(linger));
		close();
	}
	std::string in;
	bool connected;
	bool closed = false;

      private:
	GSocket *socket;
};

#endif
