#include "acaciaferry/net/message.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry::net;

TEST_GROUP(NetMessage){};

// Hop-by-hop fields must not be forwarded, and Content-Length must not occur
// twice.
TEST(NetMessage, SerializesWithoutHopByHopFields) {
  const request_head head{"POST",
                          "/a?b=1",
                          {{"Host", "h"},
                           {"Connection", "close"},
                           {"Transfer-Encoding", "chunked"},
                           {"content-length", "9"}}};
  STRCMP_EQUAL("POST /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n",
               Serialize(head, 3).c_str());
  STRCMP_EQUAL("GET / HTTP/1.1\r\n\r\n",
               Serialize({"GET", "/", {}}, 0).c_str());
}

// Field names must be compared ignoring case.
TEST(NetMessage, FindsFieldsCaseInsensitively) {
  const header_fields fields{{"Retry-After", "1"}};
  STRCMP_EQUAL("1", std::string(FindField(fields, "retry-after")).c_str());
  CHECK_TRUE(FindField(fields, "Retry").empty());
}
