#include "acaciaferry/entry/order_sender.hpp"

#include <thread>
#include <vector>

#include "acaciaferry/net/server.hpp"
#include "net/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::entry;

TEST_GROUP(OrderSender){};

// Guards against an order that was carried out and counts as unanswered as well
// because the VM was busy when both its response and its timeout came.
TEST(OrderSender, AnOrderEndsOnceWhateverTheVmWasBusyWith) {
  boost::asio::io_context loop;
  net::raw_listener target(loop);
  std::vector<forwarding::order_result> results;
  SendOrder(
      loop, target.Address(), {{"POST", "/order", {}}, ""}, 1, "", nullptr,
      [&](const order_outcome& outcome) { results.push_back(outcome.result); });
  loop.run_for(std::chrono::milliseconds(20));
  auto connection = target.Accept();
  connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  // Longer than an order may take.
  std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
  loop.restart();
  loop.run_for(std::chrono::milliseconds(50));
  LONGS_EQUAL(1, results.size());
  CHECK_TRUE(results.front() == forwarding::order_result::kDone);
}
