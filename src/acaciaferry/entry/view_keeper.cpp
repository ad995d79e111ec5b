#include "acaciaferry/entry/view_keeper.hpp"

#include <charconv>
#include <msgpack.hpp>
#include <tuple>
#include <utility>
#include <variant>

namespace acaciaferry::entry {
namespace internal {

constexpr duration kConnectTimeout = std::chrono::milliseconds(1'000);
constexpr duration kListTimeout = std::chrono::milliseconds(2'000);
constexpr duration kFetchConnectTimeout = std::chrono::milliseconds(800);
// A large configuration takes a while over a slow link.
constexpr duration kFetchTimeout = std::chrono::milliseconds(3'000);
// A VM that reads with short watches hears of the service more often than that.
constexpr duration kMaxServiceSilence = std::chrono::milliseconds(2'500);
constexpr int kOk = 200;
constexpr std::size_t kMaxBodyBytes = 16U << 20U;
// What a peer's view may hold. The values take many times their bytes while
// they are read.
constexpr std::size_t kMaxViewItems = 65'536;
constexpr std::size_t kMaxViewDepth = 3;

/** Value, revision, and the missing flag. */
using wire_item = std::tuple<std::string, std::uint64_t, bool>;
using wire_items = std::map<std::string, wire_item>;
/** Eras of the items that are not of the view's era. */
using wire_eras = std::map<std::string, std::uint64_t>;

}  // namespace internal

std::string EncodeView(const publication::view_update& update) {
  const publication::view& view = update.latest;
  internal::wire_items items;
  internal::wire_eras eras;
  for (const auto& [key, item] : view.items) {
    items.emplace(key,
                  internal::wire_item(item.value, item.revision, item.missing));
    if (item.era != view.era) {
      eras.emplace(key, item.era);
    }
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, view.revision);
  msgpack::pack(buffer, view.last_change_revision);
  msgpack::pack(buffer, items);
  // VMs of older releases do not read on.
  msgpack::pack(buffer, view.era);
  msgpack::pack(buffer, eras);
  if (update.since) {
    msgpack::pack(buffer, *update.since);
    msgpack::pack(buffer, update.removed);
  }
  return {buffer.data(), buffer.size()};
}

std::optional<publication::view_update> DecodePeerView(std::string_view bytes) {
  try {
    std::size_t offset = 0;
    const auto next = [&] {
      return msgpack::unpack(
          bytes.data(), bytes.size(), offset, nullptr, nullptr,
          msgpack::unpack_limit(
              internal::kMaxViewItems, internal::kMaxViewItems,
              internal::kMaxBodyBytes, internal::kMaxBodyBytes, 0,
              internal::kMaxViewDepth));
    };
    publication::view_update update;
    publication::view& view = update.latest;
    view.revision = next().get().as<std::uint64_t>();
    view.last_change_revision = next().get().as<std::uint64_t>();
    for (auto& [key, item] : next().get().as<internal::wire_items>()) {
      auto& [value, revision, missing] = item;
      view.items[key] = {std::move(value), revision, missing, 0};
    }
    if (offset == bytes.size()) {
      return update;
    }
    view.era = next().get().as<std::uint64_t>();
    for (auto& [key, item] : view.items) {
      item.era = view.era;
    }
    for (const auto& [key, era] : next().get().as<internal::wire_eras>()) {
      if (const auto at = view.items.find(key); at != view.items.end()) {
        at->second.era = era;
      }
    }
    if (offset < bytes.size()) {
      update.since = next().get().as<std::uint64_t>();
      update.removed = next().get().as<std::vector<std::string>>();
    }
    return update;
  } catch (const std::exception&) {
    // msgpack throws different types for malformed bytes and for type
    // mismatches; both derive from std::exception.
    return std::nullopt;
  }
}

view_keeper::view_keeper(boost::asio::io_context& loop,
                         const dialect& protocol,
                         std::string service,
                         decision_log& log,
                         const clock_source& clock,
                         std::uint64_t seed,
                         std::function<void()> on_changed)
    : loop_(loop),
      protocol_(protocol),
      service_(std::move(service)),
      log_(log),
      clock_(clock),
      on_changed_(std::move(on_changed)),
      reader_(protocol.DocumentPrefixes(), seed, protocol.DocumentRanks()),
      next_call_timer_(loop),
      call_timer_(loop),
      fetch_timer_(loop),
      expiry_timer_(loop) {}

void view_keeper::Start() {
  MakeNextCall();
}

void view_keeper::Stop() {
  next_call_timer_.cancel();
  call_timer_.cancel();
  fetch_timer_.cancel();
  expiry_timer_.cancel();
  if (call_) {
    call_->Cancel();
  }
  if (fetch_) {
    fetch_->Cancel();
  }
}

std::optional<duration> view_keeper::ServiceResponseAge() const {
  const auto last = reader_.LastResponseTime();
  return last ? std::optional(clock_.Now() - *last) : std::nullopt;
}

void view_keeper::SetReading(bool is_reading) {
  if (is_reading == is_reading_) {
    return;
  }
  is_reading_ = is_reading;
  log_.WriteEvent("reading_changed", {{"reads", is_reading ? "yes" : "no"}});
  if (is_reading) {
    if (!has_next_call_) {
      MakeNextCall();
    }
    return;
  }
  next_call_timer_.cancel();
  call_timer_.cancel();
  if (call_) {
    call_->Cancel();
  }
  has_next_call_ = false;
  reader_.StopRequests(clock_.Now());
  ScheduleExpiry();
}

bool view_keeper::ReadsService() const {
  const auto age = ServiceResponseAge();
  return is_reading_ && age && *age <= internal::kMaxServiceSilence;
}

void view_keeper::ScheduleNextCall(time_point time) {
  next_call_timer_.expires_at(time);
  next_call_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      MakeNextCall();
    }
  });
}

void view_keeper::MakeNextCall() {
  has_next_call_ = is_reading_;
  if (!is_reading_) {
    return;
  }
  const auto next = reader_.Next(clock_.Now());
  if (const auto* wait = std::get_if<publication::wait_until>(&next)) {
    ScheduleNextCall(wait->until);
  } else if (const auto* list = std::get_if<publication::list_request>(&next)) {
    Call(protocol_.BuildListRequest(*list), internal::kListTimeout,
         [this](const service_response& response) {
           auto decoded = protocol_.DecodePage(response.status, response.body);
           if (auto* page = std::get_if<publication::page>(&decoded)) {
             page->era = response.era;
             OnResponse(reader_.HandleResult(*page, clock_.Now()));
           } else {
             OnCallFailed(std::get<publication::request_failure>(decoded));
           }
         });
  } else if (const auto* watch =
                 std::get_if<publication::watch_request>(&next)) {
    Call(protocol_.BuildWatchRequest(*watch), watch->wait + watch->grace,
         [this](const service_response& response) {
           auto decoded =
               protocol_.DecodeChanges(response.status, response.body);
           if (auto* changes = std::get_if<publication::changes>(&decoded)) {
             changes->era = response.era;
             OnResponse(reader_.HandleResult(*changes, clock_.Now()));
           } else {
             OnCallFailed(std::get<publication::request_failure>(decoded));
           }
         });
  }
}

void view_keeper::Call(const net::request_head& head,
                       duration timeout,
                       response_handler on_response) {
  ++service_calls_;
  const auto collected = std::make_shared<service_response>();
  net::exchange_handlers handlers;
  handlers.on_head = [this, collected](const net::response_head& response) {
    collected->status = response.status;
    collected->era = protocol_.ServiceEra(response);
    return true;
  };
  handlers.on_body = [this, collected](std::string_view bytes) {
    if (collected->body.size() + bytes.size() <= internal::kMaxBodyBytes) {
      collected->body += bytes;
      return;
    }
    // It may never end.
    call_timer_.cancel();
    call_->Cancel();
    OnCallFailed(publication::request_failure::kSilent);
  };
  handlers.on_end = [this, collected, on_response = std::move(on_response)] {
    call_timer_.cancel();
    LogEra(collected->era);
    on_response(*collected);
  };
  handlers.on_failure = [this](net::exchange_failure /*failure*/) {
    call_timer_.cancel();
    OnCallFailed(publication::request_failure::kSilent);
  };
  call_ = std::make_shared<net::client_exchange>(loop_, std::move(handlers));
  call_timer_.expires_after(timeout);
  call_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      call_->Cancel();
      OnCallFailed(publication::request_failure::kSilent);
    }
  });
  net::request_head request = head;
  request.fields.push_back({"Host", service_});
  call_->Start(service_, net::Serialize(request, 0), internal::kConnectTimeout);
}

void view_keeper::LogEra(std::uint64_t era) {
  if (era > service_era_) {
    log_.WriteEvent("era_changed",
                    {{"before", std::to_string(service_era_)},
                     {"era", std::to_string(era)},
                     {"revision", std::to_string(reader_.View().revision)}});
    service_era_ = era;
  }
}

void view_keeper::OnResponse(bool changed) {
  if (service_lost_) {
    service_lost_ = false;
    log_.WriteEvent("service_regained",
                    {{"revision", std::to_string(reader_.View().revision)}});
  }
  OnViewUpdated(changed);
  MakeNextCall();
}

void view_keeper::OnViewUpdated(bool changed) {
  for (const std::string& key : reader_.TakeOutrankedKeys()) {
    log_.WriteEvent("document_refused",
                    {{"key", key}, {"why", "a later one is known"}});
  }
  ScheduleExpiry();
  const bool is_complete = reader_.IsComplete();
  if (std::exchange(was_complete_, is_complete) != is_complete) {
    log_.WriteEvent("view_completeness",
                    {{"complete", is_complete ? "yes" : "no"},
                     {"revision", std::to_string(reader_.View().revision)}});
  }
  const bool has_all = reader_.HasAllDocuments();
  const bool had_all = std::exchange(had_all_documents_, has_all);
  if (changed || has_all != had_all) {
    digest_ = publication::DigestOf(reader_.View());
    on_changed_();
  }
}

// Each item has its own time, so the timer is set again when it fires.
void view_keeper::ScheduleExpiry() {
  const auto expiry = reader_.NextExpiry();
  if (!expiry) {
    expiry_timer_.cancel();
    return;
  }
  expiry_timer_.expires_at(*expiry);
  expiry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      OnViewUpdated(reader_.Expire(clock_.Now()));
    }
  });
}

void view_keeper::OnCallFailed(publication::request_failure failure) {
  reader_.HandleResult(failure, clock_.Now());
  ScheduleExpiry();
  if (!service_lost_ && failure != publication::request_failure::kHistoryGone) {
    service_lost_ = true;
    log_.WriteEvent("service_lost",
                    {{"why", std::string(ToString(failure))},
                     {"revision", std::to_string(reader_.View().revision)}});
  }
  MakeNextCall();
}

std::string view_keeper::ServePeer(std::string_view target) const {
  const auto number = [target](std::string_view name) {
    const std::size_t at = target.find(name);
    std::uint64_t value = 0;
    if (at != std::string_view::npos) {
      const std::string_view text = target.substr(at + name.size());
      std::from_chars(text.data(), text.data() + text.size(), value);
    }
    return value;
  };
  const std::uint64_t after = number("after=");
  return EncodeView(after == 0 ? publication::view_update{View(), {}, {}}
                               : reader_.UpdateSince(number("era="), after));
}

void view_keeper::OnFetched(
    const mesh::view_source& source,
    const std::optional<publication::view_update>& update) {
  fetch_timer_.cancel();
  fetch_.reset();
  bool changed = false;
  if (update) {
    changed = source.repairs ? reader_.Repair(update->latest, clock_.Now(),
                                              source.reads_evacuations)
                             : reader_.Adopt(*update, clock_.Now(),
                                             source.reads_evacuations);
  }
  log_.WriteEvent(
      "view_from_peer",
      {{"peer", source.address},
       {"taken", changed ? "yes" : "no"},
       {"whole", update && update->since ? "no" : "yes"},
       {"complete", source.reads_evacuations ? "yes" : "no"},
       {"era", std::to_string(reader_.View().era)},
       {"changed_at", std::to_string(reader_.View().last_change_revision)}});
  OnViewUpdated(changed);
}

bool view_keeper::FetchFrom(const mesh::view_source& source) {
  if (fetch_) {
    return false;
  }
  const auto body = std::make_shared<std::string>();
  const auto status = std::make_shared<int>(0);
  net::exchange_handlers handlers;
  handlers.on_head = [status](const net::response_head& response) {
    *status = response.status;
    return true;
  };
  handlers.on_body = [this, body](std::string_view bytes) {
    if (body->size() + bytes.size() <= internal::kMaxBodyBytes) {
      *body += bytes;
      return;
    }
    fetch_timer_.cancel();
    fetch_->Cancel();
    fetch_.reset();
  };
  handlers.on_end = [this, body, status, source] {
    OnFetched(source,
              *status == internal::kOk ? DecodePeerView(*body) : std::nullopt);
  };
  handlers.on_failure = [this](net::exchange_failure /*failure*/) {
    fetch_timer_.cancel();
    fetch_.reset();
  };
  fetch_ = std::make_shared<net::client_exchange>(loop_, std::move(handlers));
  fetch_timer_.expires_after(internal::kFetchTimeout);
  fetch_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && fetch_) {
      fetch_->Cancel();
      fetch_.reset();
    }
  });
  std::string target(kViewPath);
  const publication::view& known = reader_.View();
  // Changes alone don't have what an incomplete view lacks.
  const bool needs_whole = source.reads_evacuations && !reader_.IsComplete();
  if (source.serves_changes && !source.repairs && !needs_whole &&
      known.last_change_revision > 0) {
    target += "?era=" + std::to_string(known.era) +
              "&after=" + std::to_string(known.last_change_revision);
  }
  const net::request_head head{"GET", target, {{"Host", source.address}}};
  fetch_->Start(source.address, net::Serialize(head, 0),
                internal::kFetchConnectTimeout);
  return true;
}

}  // namespace acaciaferry::entry
