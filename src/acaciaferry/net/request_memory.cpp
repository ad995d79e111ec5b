#include "acaciaferry/net/request_memory.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace acaciaferry::net {
namespace internal {
namespace {

// Longer than a lost segment takes to be sent again within a region.
constexpr duration kStallPeriod = std::chrono::milliseconds(400);

}  // namespace
}  // namespace internal

std::string_view ToString(request_kind kind) noexcept {
  switch (kind) {
    case request_kind::kReading:
      return "reading";
    case request_kind::kComplete:
      return "complete";
    case request_kind::kTunnel:
      return "tunnel";
  }
  return "unknown";
}

std::string_view ToString(drop_reason reason) noexcept {
  switch (reason) {
    case drop_reason::kStalled:
      return "stalled";
    case drop_reason::kLargest:
      return "largest";
    case drop_reason::kNoRoom:
      return "no_room";
    case drop_reason::kIdle:
      return "idle";
  }
  return "unknown";
}

bool request_memory::Fits(const request_room& room,
                          std::size_t bytes,
                          bool is_large) const {
  if (held_ - room.bytes_ + bytes > limit_) {
    return false;
  }
  const std::size_t own = room.is_large_ ? room.bytes_ : 0;
  const std::size_t others = held_large_ - own;
  // One alone may be as large as the whole bound.
  return !is_large || others == 0 || others + bytes <= LargeLimit();
}

void request_memory::Change(request_room& room,
                            std::size_t bytes,
                            bool is_large) {
  std::size_t& by_kind = held_by_kind_[static_cast<std::size_t>(room.kind_)];
  held_ = held_ - room.bytes_ + bytes;
  by_kind = by_kind - room.bytes_ + bytes;
  held_large_ -= room.is_large_ ? room.bytes_ : 0;
  held_large_ += is_large ? bytes : 0;
  if (room.is_dropped_) {
    releasing_ = releasing_ - room.bytes_ + bytes;
    releasing_large_ -= room.is_large_ ? room.bytes_ : 0;
    releasing_large_ += is_large ? bytes : 0;
  }
  room.bytes_ = bytes;
  room.is_large_ = is_large;
}

void request_memory::GrantWaiting() {
  // A request with a large body that gets no room holds up others with large
  // bodies, or small ones of them would starve it; small requests pass it.
  bool is_large_blocked = false;
  bool is_small_blocked = false;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    request_room& room = **at;
    ++at;
    bool& is_blocked = room.asked_large_ ? is_large_blocked : is_small_blocked;
    if (is_blocked || !Fits(room, room.asked_, room.asked_large_)) {
      is_blocked = true;
      continue;
    }
    room.StopWaiting();
    Change(room, room.asked_, room.asked_large_);
    room.granted_at_ = {};
    room.owner_->on_granted();
  }
}

void request_memory::Review(time_point now) {
  GrantWaiting();
  const auto first_of = [this](bool is_large) {
    return std::find_if(waiting_.begin(), waiting_.end(),
                        [is_large](const request_room* room) {
                          return room->asked_large_ == is_large;
                        });
  };
  for (const bool is_large : {false, true}) {
    if (const auto first = first_of(is_large); first != waiting_.end()) {
      MakeRoom(**first, now);
    }
  }
}

void request_memory::MakeRoom(const request_room& waiting, time_point now) {
  const bool is_large = waiting.asked_large_;
  const std::size_t more =
      waiting.asked_ - std::min(waiting.asked_, waiting.bytes_);
  const auto is_missing = [&] {
    return held_ - releasing_ + more > limit_ ||
           (is_large && held_large_ - releasing_large_ + more > LargeLimit());
  };
  // Dropping small requests frees nothing of the share of large bodies.
  const auto helps = [&](const request_room& room) {
    return !room.is_dropped_ && room.kind_ == request_kind::kReading &&
           room.has_started_ &&
           (!is_large || room.is_large_ ||
            held_large_ - releasing_large_ + more <= LargeLimit());
  };
  std::vector<request_room*> by_size;
  for (request_room* room : rooms_) {
    if (helps(*room)) {
      by_size.push_back(room);
    }
  }
  std::stable_sort(by_size.begin(), by_size.end(),
                   [](const request_room* a, const request_room* b) {
                     return a->bytes_ > b->bytes_;
                   });
  for (request_room* room : by_size) {
    if (is_missing() && room->IsStalled(now)) {
      Drop(*room, drop_reason::kStalled);
    }
  }
  // One large body in place of another would let none of them be completed.
  for (request_room* room : by_size) {
    if (!is_large && is_missing() && !room->is_dropped_) {
      Drop(*room, drop_reason::kLargest);
    }
  }
}

void request_memory::Drop(request_room& room, drop_reason reason) {
  room.StopWaiting();
  room.is_dropped_ = true;
  releasing_ += room.bytes_;
  releasing_large_ += room.is_large_ ? room.bytes_ : 0;
  room.owner_->on_dropped(reason);
}

request_room::request_room(request_memory* memory,
                           request_kind kind,
                           std::shared_ptr<const handlers> owner)
    : memory_(memory), kind_(kind), owner_(std::move(owner)) {
  if (memory_ != nullptr) {
    position_ = memory_->rooms_.insert(memory_->rooms_.end(), this);
  }
}

request_room::~request_room() {
  if (memory_ != nullptr) {
    StopWaiting();
    memory_->Change(*this, 0, false);
    memory_->rooms_.erase(position_);
    memory_->GrantWaiting();
  }
}

bool request_room::Ask(std::size_t bytes, bool is_large) {
  if (memory_ == nullptr) {
    return true;
  }
  if (is_dropped_) {
    return false;
  }
  if (bytes > bytes_ || is_large != is_large_) {
    if (!memory_->Fits(*this, bytes, is_large)) {
      return false;
    }
    memory_->Change(*this, bytes, is_large);
  }
  return true;
}

bool request_room::AskOrWait(std::size_t bytes,
                             bool is_large,
                             duration allowed) {
  if (memory_ == nullptr) {
    return true;
  }
  if (is_dropped_ || is_waiting_) {
    return false;
  }
  allowed_ = allowed;
  const bool is_first =
      std::none_of(memory_->waiting_.begin(), memory_->waiting_.end(),
                   [is_large](const request_room* room) {
                     return room->asked_large_ == is_large;
                   });
  const bool is_held = bytes <= bytes_ && is_large == is_large_;
  if (is_held || (is_first && Ask(bytes, is_large))) {
    return true;
  }
  asked_ = bytes;
  asked_large_ = is_large;
  is_waiting_ = true;
  waiting_position_ = memory_->waiting_.insert(memory_->waiting_.end(), this);
  return false;
}

void request_room::Set(std::size_t bytes) {
  if (memory_ != nullptr && bytes != bytes_) {
    const bool is_less = bytes < bytes_;
    memory_->Change(*this, bytes, is_large_);
    if (is_less && !memory_->waiting_.empty()) {
      memory_->GrantWaiting();
    }
  }
}

void request_room::Advance(std::size_t received, time_point now) {
  has_started_ = true;
  received_ = received;
  advanced_at_ = now;
  if (granted_at_ == time_point{}) {
    granted_at_ = now;
  }
}

void request_room::Complete(std::size_t bytes) {
  if (memory_ == nullptr) {
    return;
  }
  StopWaiting();
  const bool is_large = is_large_;
  const std::size_t held = bytes_;
  memory_->Change(*this, 0, false);
  kind_ = request_kind::kComplete;
  // It was read to its end before its owner let go.
  is_dropped_ = false;
  memory_->Change(*this, bytes, is_large);
  if (bytes < held && !memory_->waiting_.empty()) {
    memory_->GrantWaiting();
  }
}

void request_room::StopWaiting() {
  if (is_waiting_) {
    is_waiting_ = false;
    memory_->waiting_.erase(waiting_position_);
  }
}

bool request_room::IsStalled(time_point now) const {
  // While it waits, it is not read.
  if (is_waiting_ || granted_at_ == time_point{} ||
      now - advanced_at_ < duration::zero()) {
    return false;
  }
  if (now - advanced_at_ >= internal::kStallPeriod) {
    return true;
  }
  // Slower than what brings the whole body in the time that it is allowed.
  const duration since = now - granted_at_ - internal::kStallPeriod;
  return since > duration::zero() && allowed_ > duration::zero() &&
         static_cast<double>(received_) <
             static_cast<double>(body_bytes_ > 0 ? body_bytes_ : bytes_) *
                 (ToSeconds(since) / ToSeconds(allowed_));
}

}  // namespace acaciaferry::net
