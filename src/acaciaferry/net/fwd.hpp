#pragma once

namespace acaciaferry::net {

class client_exchange;
class connection;
class datagram_socket;
class held_memory;
class http_server;
class memory_account;
class request_memory;
class request_room;
class server_exchange;
class tunnel_server;
struct header_field;
struct request_head;
struct response_head;
struct server_limits;

}  // namespace acaciaferry::net
