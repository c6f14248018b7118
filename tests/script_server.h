// A TCP server on the loopback interface that runs a script of the test for
// each request, for behaviour that a conforming HTTP server does not have.
#ifndef TESTS_SCRIPT_SERVER_H
#define TESTS_SCRIPT_SERVER_H

#include "tests/pump.h"

#include <functional>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <vector>

struct script_conn_t {
	GSocket *socket;
	GSource *source;
	std::string in;
	int requests = 0;
	bool closed = false;
	bool was_reset = false; // by the other side

	void send(const std::string &text) const
	{
		g_socket_send(socket, text.data(), text.size(), nullptr,
			      nullptr);
	}
	void close()
	{
		g_socket_close(socket, nullptr);
		closed = true;
	}
	void reset()
	{
		struct linger linger = {1, 0};

		setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER,
			   &linger, sizeof(linger));
		close();
	}
};

class ScriptServer
{
      public:
	using script_t = std::function<void(script_conn_t &)>;

	// Calls run for each request whose head is complete.
	explicit ScriptServer(script_t run) : script(std::move(run))
	{
		GSocketAddress *address =
			g_inet_socket_address_new_from_string("127.0.0.1", 0);
		GSocketAddress *bound;

		listener =
			g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, nullptr);
		g_socket_set_blocking(listener, FALSE);
		g_socket_bind(listener, address, TRUE, nullptr);
		g_socket_listen(listener, nullptr);
		bound = g_socket_get_local_address(listener, nullptr);
		port = g_inet_socket_address_get_port(
			G_INET_SOCKET_ADDRESS(bound));
		accepting = watch(listener, on_accept, this);
		g_object_unref(bound);
		g_object_unref(address);
	}
	~ScriptServer()
	{
		for (auto &conn : conns) {
			g_source_destroy(conn->source);
			g_source_unref(conn->source);
			g_object_unref(conn->socket);
		}
		g_source_destroy(accepting);
		g_source_unref(accepting);
		g_object_unref(listener);
	}
	uint16_t port;
	std::vector<std::unique_ptr<script_conn_t>> conns;

      private:
	struct link_t {
		ScriptServer *server;
		script_conn_t *conn;
	};
	static GSource *watch(GSocket *socket, GSocketSourceFunc run,
			      gpointer data)
	{
		GSource *source =
			g_socket_create_source(socket, G_IO_IN, nullptr);

		g_source_set_callback(source, G_SOURCE_FUNC(run), data,
				      nullptr);
		g_source_attach(source, nullptr);
		return source;
	}
	static gboolean on_accept(GSocket *socket, GIOCondition, gpointer data)
	{
		ScriptServer *self = static_cast<ScriptServer *>(data);
		GSocket *accepted = g_socket_accept(socket, nullptr, nullptr);

		if (accepted == nullptr)
			return G_SOURCE_CONTINUE;
		g_socket_set_blocking(accepted, FALSE);
		self->conns.push_back(std::make_unique<script_conn_t>());
		self->links.push_back(std::make_unique<link_t>(
			link_t{self, self->conns.back().get()}));
		self->conns.back()->socket = accepted;
		self->conns.back()->source =
			watch(accepted, on_input, self->links.back().get());
		return G_SOURCE_CONTINUE;
	}
	static gboolean on_input(GSocket *socket, GIOCondition, gpointer data)
	{
		link_t *link = static_cast<link_t *>(data);
		script_conn_t &conn = *link->conn;
		char buffer[65536];
		gssize n = g_socket_receive(socket, buffer, sizeof(buffer),
					    nullptr, nullptr);

		if (n <= 0) {
			conn.closed = true;
			conn.was_reset = n < 0;
			return G_SOURCE_REMOVE;
		}
		conn.in.append(buffer, (size_t)n);
		while (!conn.closed &&
		       conn.in.find("\r\n\r\n") != std::string::npos) {
			conn.in.erase(0, conn.in.find("\r\n\r\n") + 4);
			conn.requests++;
			link->server->script(conn);
		}
		return conn.closed ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
	}
	script_t script;
	GSocket *listener;
	GSource *accepting;
	std::vector<std::unique_ptr<link_t>> links;
};

#endif
