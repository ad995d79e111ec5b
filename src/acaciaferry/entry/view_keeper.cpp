#include "acaciaferry/entry/view_keeper.hpp"

#include <msgpack.hpp>
#include <tuple>
#include <variant>

namespace acaciaferry::entry {
namespace internal {

constexpr duration kConnectTimeout = std::chrono::milliseconds(1'000);
constexpr duration kListPatience = std::chrono::milliseconds(2'000);
constexpr duration kFetchPatience = std::chrono::milliseconds(800);
constexpr int kOk = 200;
constexpr std::size_t kMostBodyBytes = 16U << 20U;

/** Value, revision, and whether it is missing. */
using wire_item = std::tuple<std::string, std::uint64_t, bool>;
using wire_items = std::map<std::string, wire_item>;

}  // namespace internal

std::string EncodeView(const publication::view& view) {
  internal::wire_items items;
  for (const auto& [key, item] : view.items) {
    items.emplace(key,
                  internal::wire_item(item.value, item.revision, item.missing));
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, view.revision);
  msgpack::pack(buffer, view.last_change_revision);
  msgpack::pack(buffer, items);
  return {buffer.data(), buffer.size()};
}

std::optional<publication::view> DecodePeerView(std::string_view bytes) {
  try {
    std::size_t offset = 0;
    const auto next = [&] {
      return msgpack::unpack(bytes.data(), bytes.size(), offset);
    };
    publication::view view;
    view.revision = next().get().as<std::uint64_t>();
    view.last_change_revision = next().get().as<std::uint64_t>();
    for (auto& [key, item] : next().get().as<internal::wire_items>()) {
      auto& [value, revision, missing] = item;
      view.items[key] = {std::move(value), revision, missing};
    }
    return view;
  } catch (const std::exception&) {
    // The library reports both malformed bytes and wrong types this way.
    return std::nullopt;
  }
}

view_keeper::view_keeper(boost::asio::io_context& loop,
                         const dialect& words,
                         std::string service,
                         decision_log& log,
                         const clock_source& clock,
                         std::uint64_t seed,
                         std::function<void()> on_changed)
    : loop_(loop),
      words_(words),
      service_(std::move(service)),
      log_(log),
      clock_(clock),
      on_changed_(std::move(on_changed)),
      reader_(words.Prefixes(), seed),
      step_timer_(loop),
      patience_(loop),
      fetch_timer_(loop),
      expiry_timer_(loop) {}

void view_keeper::Start() {
  Step();
}

void view_keeper::Stop() {
  step_timer_.cancel();
  patience_.cancel();
  fetch_timer_.cancel();
  expiry_timer_.cancel();
  if (call_) {
    call_->Cancel();
  }
  if (fetch_) {
    fetch_->Cancel();
  }
}

std::optional<duration> view_keeper::Age() const {
  const auto last = reader_.LastResponseTime();
  return last ? std::optional(clock_.Now() - *last) : std::nullopt;
}

void view_keeper::WakeAt(time_point when) {
  step_timer_.expires_at(when);
  step_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Step();
    }
  });
}

void view_keeper::Step() {
  const auto next = reader_.Next(clock_.Now());
  if (const auto* wait = std::get_if<publication::wait_until>(&next)) {
    WakeAt(wait->until);
  } else if (const auto* list = std::get_if<publication::list_request>(&next)) {
    Call(words_.List(*list), internal::kListPatience,
         [this](int status, std::string_view body) {
           const auto decoded = words_.DecodePage(status, body);
           if (const auto* page = std::get_if<publication::page>(&decoded)) {
             Answered(reader_.HandleResult(*page, clock_.Now()));
           } else {
             Failed(std::get<publication::request_failure>(decoded));
           }
         });
  } else if (const auto* watch =
                 std::get_if<publication::watch_request>(&next)) {
    Call(words_.Watch(*watch), watch->wait + watch->grace,
         [this](int status, std::string_view body) {
           const auto decoded = words_.DecodeChanges(status, body);
           if (const auto* some = std::get_if<publication::changes>(&decoded)) {
             Answered(reader_.HandleResult(*some, clock_.Now()));
           } else {
             Failed(std::get<publication::request_failure>(decoded));
           }
         });
  }
}

void view_keeper::Call(const net::request_head& head,
                       duration patience,
                       std::function<void(int, std::string_view)> on_answer) {
  struct answer {
    int status{};
    std::string body;
  };
  ++calls_;
  const auto collected = std::make_shared<answer>();
  net::exchange_handlers handlers;
  handlers.on_head = [collected](const net::response_head& begun) {
    collected->status = begun.status;
    return true;
  };
  handlers.on_body = [collected](std::string_view bytes) {
    if (collected->body.size() + bytes.size() <= internal::kMostBodyBytes) {
      collected->body += bytes;
    }
  };
  handlers.on_end = [this, collected, on_answer = std::move(on_answer)] {
    patience_.cancel();
    on_answer(collected->status, collected->body);
  };
  handlers.on_failure = [this](net::exchange_failure /*failure*/) {
    patience_.cancel();
    Failed(publication::request_failure::kSilent);
  };
  call_ = std::make_shared<net::client_exchange>(loop_, std::move(handlers));
  patience_.expires_after(patience);
  patience_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      call_->Cancel();
      Failed(publication::request_failure::kSilent);
    }
  });
  net::request_head request = head;
  request.fields.push_back({"Host", service_});
  call_->Start(service_, net::Serialize(request, 0), internal::kConnectTimeout);
}

void view_keeper::Answered(bool changed) {
  if (lost_) {
    lost_ = false;
    log_.Note("service_regained",
              {{"revision", std::to_string(reader_.View().revision)}});
  }
  if (const auto expiry = reader_.NextExpiry()) {
    expiry_timer_.expires_at(*expiry);
    expiry_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error && reader_.Expire(clock_.Now())) {
        on_changed_();
      }
    });
  }
  if (changed) {
    on_changed_();
  }
  Step();
}

void view_keeper::Failed(publication::request_failure failure) {
  reader_.HandleResult(failure, clock_.Now());
  if (!lost_ && failure != publication::request_failure::kHistoryGone) {
    lost_ = true;
    log_.Note("service_lost",
              {{"why", std::string(ToString(failure))},
               {"revision", std::to_string(reader_.View().revision)}});
  }
  Step();
}

void view_keeper::FetchFrom(const std::string& address) {
  if (fetch_) {
    return;
  }
  const auto body = std::make_shared<std::string>();
  const auto status = std::make_shared<int>(0);
  net::exchange_handlers handlers;
  handlers.on_head = [status](const net::response_head& begun) {
    *status = begun.status;
    return true;
  };
  handlers.on_body = [body](std::string_view bytes) {
    if (body->size() + bytes.size() <= internal::kMostBodyBytes) {
      *body += bytes;
    }
  };
  handlers.on_end = [this, body, status, address] {
    fetch_timer_.cancel();
    fetch_.reset();
    const auto view =
        *status == internal::kOk ? DecodePeerView(*body) : std::nullopt;
    const bool changed = view && reader_.Adopt(*view, clock_.Now());
    log_.Note(
        "view_from_peer",
        {{"peer", address},
         {"taken", changed ? "yes" : "no"},
         {"changed_at", std::to_string(reader_.View().last_change_revision)}});
    if (changed) {
      on_changed_();
    }
  };
  handlers.on_failure = [this](net::exchange_failure /*failure*/) {
    fetch_timer_.cancel();
    fetch_.reset();
  };
  fetch_ = std::make_shared<net::client_exchange>(loop_, std::move(handlers));
  fetch_timer_.expires_after(internal::kFetchPatience);
  fetch_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && fetch_) {
      fetch_->Cancel();
      fetch_.reset();
    }
  });
  const net::request_head head{"GET", std::string(kPath), {{"Host", address}}};
  fetch_->Start(address, net::Serialize(head, 0), internal::kFetchPatience);
}

}  // namespace acaciaferry::entry
