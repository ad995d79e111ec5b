#include "acaciaferry/target_client/control_client.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Runnable.h>

#include <istream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>

#include "acaciaferry/target_client/wire.hpp"

namespace acaciaferry {
namespace internal {

using nlohmann::json;
using Poco::Net::HTTPRequest;

constexpr int kMinThreads = 2;
constexpr int kMaxThreads = 64;
constexpr int kIdleThreadSeconds = 30;
// A reply that takes longer than the interval between renewals is useless.
constexpr long kTimeoutUs = 1'000'000;
constexpr std::size_t kMaxReplyBytes = 4 << 20;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;

struct control_reply {
  int status{};
  std::string body;

  [[nodiscard]] bool IsSuccess() const noexcept { return status / 100 == 2; }
};

// Returns nothing when the connection fails.
std::optional<control_reply> SendControlRequest(const std::string& address,
                                                const std::string& method,
                                                const std::string& path,
                                                const json& body) {
  try {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    session.setTimeout(Poco::Timespan(0, kTimeoutUs));
    HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
    const std::string text = body.is_null() ? "" : body.dump();
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(text.size()));
    session.sendRequest(request) << text << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& stream = session.receiveResponse(response);
    std::string reply(kMaxReplyBytes, '\0');
    stream.read(reply.data(), static_cast<std::streamsize>(reply.size()));
    reply.resize(static_cast<std::size_t>(stream.gcount()));
    return control_reply{static_cast<int>(response.getStatus()),
                         std::move(reply)};
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

std::int64_t Milliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

std::string ReservationPath(const reservation_id& id) {
  return "/v1/reservations/" + ToString(id);
}

// Deletes itself after its run, since Poco::ThreadPool does not own its tasks.
class control_task final : public Poco::Runnable {
 public:
  explicit control_task(std::function<void()> function)
      : function_(std::move(function)) {}

  void run() override {
    const std::unique_ptr<control_task> self(this);
    function_();
  }

 private:
  std::function<void()> function_;
};

}  // namespace internal

control_client::control_client(std::string owner, post_event post)
    : owner_(std::move(owner)),
      post_(std::move(post)),
      threads_(internal::kMinThreads,
               internal::kMaxThreads,
               internal::kIdleThreadSeconds) {}

control_client::~control_client() {
  threads_.joinAll();
}

void control_client::Spawn(std::function<void()> function,
                           const event& busy_event) {
  auto task = std::make_unique<internal::control_task>(std::move(function));
  try {
    threads_.start(*task);
    // The task deletes itself when it has run.
    static_cast<void>(task.release());
  } catch (const Poco::NoThreadAvailableException&) {
    post_(busy_event);
  }
}

void control_client::Send(const reserve_memory& effect) {
  const reservation_refused refused{effect.reservation};
  Spawn(
      [this, effect, refused] {
        const auto reply = internal::SendControlRequest(
            effect.address, internal::HTTPRequest::HTTP_POST,
            "/v1/reservations",
            {{"id", ToString(effect.reservation)},
             {"tokens", effect.tokens},
             {"owner", owner_},
             {"lease_ms", internal::Milliseconds(effect.lease)},
             {"deadline_ms", internal::Milliseconds(effect.remaining)}});
        if (reply && reply->IsSuccess()) {
          post_(reservation_granted{effect.reservation, effect.address});
        } else {
          post_(refused);
        }
      },
      refused);
}

void control_client::Send(const renew_reservation& effect) {
  Spawn(
      [this, effect] {
        const auto reply = internal::SendControlRequest(
            effect.address, internal::HTTPRequest::HTTP_POST,
            internal::ReservationPath(effect.reservation) + "/renew",
            {{"lease_ms", internal::Milliseconds(effect.lease)}});
        if (reply && reply->IsSuccess()) {
          post_(reservation_renewed{effect.reservation});
        } else if (reply && reply->status == internal::kNotFound) {
          post_(reservation_lost{effect.reservation});
        }
      },
      timer_expired{});
}

void control_client::Send(const release_reservation& effect) {
  // When the request is lost, the reservation ends with its lease.
  Spawn(
      [effect] {
        static_cast<void>(internal::SendControlRequest(
            effect.address, internal::HTTPRequest::HTTP_DELETE,
            internal::ReservationPath(effect.reservation), nullptr));
      },
      timer_expired{});
}

void control_client::Send(const list_holdings& effect) {
  Spawn(
      [this, effect] {
        const auto reply = internal::SendControlRequest(
            effect.address, internal::HTTPRequest::HTTP_GET, "/v1/holdings",
            nullptr);
        if (!reply || !reply->IsSuccess()) {
          return;
        }
        if (auto holdings = ParseHoldings(reply->body)) {
          post_(holdings_listed{effect.target, *std::move(holdings)});
        }
      },
      timer_expired{});
}

void control_client::Send(const release_holding& effect) {
  Spawn(
      [effect] {
        static_cast<void>(internal::SendControlRequest(
            effect.address, internal::HTTPRequest::HTTP_DELETE,
            "/v1/holdings/" + effect.holding, nullptr));
      },
      timer_expired{});
}

void control_client::Send(const issue_order& effect) {
  const auto make_answer = [effect](order_verdict verdict) {
    return order_answered{effect.target, effect.id, verdict};
  };
  Spawn(
      [this, effect, make_answer] {
        const auto reply = internal::SendControlRequest(
            effect.address, internal::HTTPRequest::HTTP_POST, "/v1/orders",
            {{"id", effect.id},
             {"fencing", effect.fencing},
             {"action", ToString(effect.action)},
             {"model", effect.model},
             {"expires_ms", internal::Milliseconds(effect.expires)}});
        if (!reply) {
          post_(make_answer(order_verdict::kFailed));
        } else if (reply->status == internal::kPreconditionFailed) {
          post_(make_answer(order_verdict::kFenced));
        } else {
          post_(make_answer(reply->IsSuccess() ? order_verdict::kAccepted
                                               : order_verdict::kFailed));
        }
      },
      make_answer(order_verdict::kFailed));
}

}  // namespace acaciaferry
