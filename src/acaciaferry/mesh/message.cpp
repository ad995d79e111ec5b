#include "acaciaferry/mesh/message.hpp"

#include <algorithm>
#include <msgpack.hpp>

namespace acaciaferry::mesh {
namespace internal {
namespace {

// The first byte of a datagram. Readers learn a format before a writer uses it,
// as VMs of two versions run side by side.
constexpr char kFormat = 1;

enum kind : std::uint32_t {
  kHello = 1,
  kLoad = 2,
  kSuspects = 3,
  kLiveJobs = 4,
  kJobsWanted = 5
};

constexpr std::size_t kJobsPerDatagram = 16;
constexpr std::size_t kKeysPerDatagram = 64;
constexpr std::size_t kSuspectsPerDatagram = 16;
constexpr std::size_t kMostItems = 1'024;
constexpr std::int64_t kMostMilliseconds = 3'600'000;

struct hello_wire {
  std::string vm;
  std::string failure_domain;
  std::uint64_t incarnation{};
  std::string datagrams;
  std::string views;
  std::uint64_t changed_at{};
  bool leaving{};
  std::vector<std::string> known;
  MSGPACK_DEFINE_ARRAY(vm,
                       failure_domain,
                       incarnation,
                       datagrams,
                       views,
                       changed_at,
                       leaving,
                       known)
};

struct job_wire {
  std::uint64_t key{};
  std::string target;
  std::int64_t reading_us{};
  bool is_part{};
  std::int64_t due_in_ms{};
  double worth{};
  bool writes{};
  std::int64_t gap_ms{};
  std::uint64_t memory_tokens{};
  std::uint64_t context_tokens{};
  std::int64_t end_in_ms{};
  MSGPACK_DEFINE_ARRAY(key,
                       target,
                       reading_us,
                       is_part,
                       due_in_ms,
                       worth,
                       writes,
                       gap_ms,
                       memory_tokens,
                       context_tokens,
                       end_in_ms)
};

struct distrust_wire {
  std::string target;
  std::int64_t remaining_ms{};
  MSGPACK_DEFINE_ARRAY(target, remaining_ms)
};

struct load_wire {
  std::vector<job_wire> jobs;
  std::vector<std::uint64_t> ended;
  std::vector<distrust_wire> distrusted;
  MSGPACK_DEFINE_ARRAY(jobs, ended, distrusted)
};

struct live_jobs_wire {
  std::uint64_t incarnation{};
  std::string datagrams;
  std::vector<std::uint64_t> keys;
  MSGPACK_DEFINE_ARRAY(incarnation, datagrams, keys)
};

struct jobs_wanted_wire {
  std::string datagrams;
  std::vector<std::uint64_t> keys;
  MSGPACK_DEFINE_ARRAY(datagrams, keys)
};

struct suspect_wire {
  std::uint64_t fingerprint{};
  std::string vm;
  std::uint64_t incarnation{};
  std::uint64_t version{};
  std::uint32_t crashes{};
  double weight{};
  std::int64_t age_ms{};
  MSGPACK_DEFINE_ARRAY(fingerprint,
                       vm,
                       incarnation,
                       version,
                       crashes,
                       weight,
                       age_ms)
};

std::int64_t ToMillis(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

duration FromMillis(std::int64_t value) {
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(value, 0, kMostMilliseconds));
}

template <typename Wire>
std::string Pack(kind which, const Wire& wire) {
  msgpack::sbuffer buffer;
  buffer.write(&kFormat, 1);
  msgpack::pack(buffer, static_cast<std::uint32_t>(which));
  msgpack::pack(buffer, wire);
  return {buffer.data(), buffer.size()};
}

job_wire ToWire(const forwarding::job& from, time_point now) {
  return {from.key,
          from.target.value,
          from.reading.count(),
          from.is_part,
          ToMillis(from.due - now),
          from.worth,
          from.writes,
          ToMillis(from.target_gap),
          from.memory_tokens,
          from.context_tokens,
          ToMillis(from.latest_end - now)};
}

forwarding::job FromWire(const job_wire& from, time_point now) {
  forwarding::job job;
  job.key = from.key;
  job.target.value = from.target;
  job.reading = duration(
      std::clamp<std::int64_t>(from.reading_us, 0, kMostMilliseconds * 1'000));
  job.is_part = from.is_part;
  job.due = now + FromMillis(from.due_in_ms);
  job.worth = from.worth;
  job.writes = from.writes;
  job.target_gap = FromMillis(from.gap_ms);
  job.memory_tokens = from.memory_tokens;
  job.context_tokens = from.context_tokens;
  job.latest_end = now + FromMillis(from.end_in_ms);
  return job;
}

std::vector<std::string> Encode(const hello& from, time_point /*now*/) {
  hello_wire wire{from.vm.value,    from.failure_domain.value,
                  from.incarnation, from.datagrams,
                  from.views,       from.changed_at,
                  from.leaving,     from.known};
  wire.known.resize(std::min(wire.known.size(), kMostKnown));
  return {Pack(kHello, wire)};
}

std::vector<std::string> Encode(const load_news& from, time_point now) {
  std::vector<std::string> datagrams;
  load_wire wire;
  const auto flush = [&] {
    datagrams.push_back(Pack(kLoad, wire));
    wire = {};
  };
  for (const forwarding::job& each : from.jobs) {
    wire.jobs.push_back(ToWire(each, now));
    if (wire.jobs.size() == kJobsPerDatagram) {
      flush();
    }
  }
  for (const auto key : from.ended) {
    wire.ended.push_back(key);
    if (wire.ended.size() == kKeysPerDatagram) {
      flush();
    }
  }
  for (const auto& each : from.distrusted) {
    wire.distrusted.push_back({each.target.value, ToMillis(each.remaining)});
    if (wire.distrusted.size() == kJobsPerDatagram) {
      flush();
    }
  }
  if (!wire.jobs.empty() || !wire.ended.empty() || !wire.distrusted.empty()) {
    flush();
  }
  return datagrams;
}

std::vector<std::string> Encode(const suspect_reports_received& from,
                                time_point /*now*/) {
  std::vector<std::string> datagrams;
  std::vector<suspect_wire> wire;
  for (const suspect_report& each : from.reports) {
    wire.push_back({each.fingerprint, each.source.first.value,
                    each.source.second, each.version, each.crashes, each.weight,
                    ToMillis(each.age)});
    if (wire.size() == kSuspectsPerDatagram) {
      datagrams.push_back(Pack(kSuspects, wire));
      wire.clear();
    }
  }
  if (!wire.empty()) {
    datagrams.push_back(Pack(kSuspects, wire));
  }
  return datagrams;
}

// Half of a list would make its receiver drop the other half.
std::vector<std::string> Encode(const live_jobs& from, time_point /*now*/) {
  if (from.keys.size() > kMostLiveJobs) {
    return {};
  }
  return {Pack(kLiveJobs,
               live_jobs_wire{from.incarnation, from.datagrams, from.keys})};
}

std::vector<std::string> Encode(const jobs_wanted& from, time_point /*now*/) {
  return {Pack(kJobsWanted, jobs_wanted_wire{from.datagrams, from.keys})};
}

message FromWire(const live_jobs_wire& wire) {
  return live_jobs{wire.incarnation, wire.datagrams, wire.keys};
}

message FromWire(const jobs_wanted_wire& wire) {
  return jobs_wanted{wire.datagrams, wire.keys};
}

message FromWire(const hello_wire& wire) {
  return hello{
      {wire.vm},  {wire.failure_domain}, wire.incarnation, wire.datagrams,
      wire.views, wire.changed_at,       wire.leaving,     wire.known};
}

message FromWire(const load_wire& wire, time_point now) {
  load_news news;
  for (const job_wire& each : wire.jobs) {
    news.jobs.push_back(FromWire(each, now));
  }
  news.ended = wire.ended;
  for (const distrust_wire& each : wire.distrusted) {
    news.distrusted.push_back({{each.target}, FromMillis(each.remaining_ms)});
  }
  return news;
}

message FromWire(const std::vector<suspect_wire>& wire) {
  suspect_reports_received heard;
  for (const suspect_wire& each : wire) {
    heard.reports.push_back({each.fingerprint,
                             {{each.vm}, each.incarnation},
                             each.version,
                             each.crashes,
                             each.weight,
                             FromMillis(each.age_ms)});
  }
  return heard;
}

}  // namespace
}  // namespace internal

std::vector<std::string> Encode(const message& what, time_point now) {
  return std::visit(
      [now](const auto& each) { return internal::Encode(each, now); }, what);
}

std::optional<message> Decode(std::string_view bytes, time_point now) {
  if (bytes.empty() || bytes.front() != internal::kFormat) {
    return std::nullopt;
  }
  try {
    std::size_t offset = 1;
    const msgpack::unpack_limit limit(
        internal::kMostItems, internal::kMostItems, kMostDatagramBytes * 8,
        kMostDatagramBytes * 8, 0, 4);
    const auto which = msgpack::unpack(bytes.data(), bytes.size(), offset,
                                       nullptr, nullptr, limit)
                           .get()
                           .as<std::uint32_t>();
    const auto body = msgpack::unpack(bytes.data(), bytes.size(), offset,
                                      nullptr, nullptr, limit);
    switch (which) {
      case internal::kHello:
        return internal::FromWire(body.get().as<internal::hello_wire>());
      case internal::kLoad:
        return internal::FromWire(body.get().as<internal::load_wire>(), now);
      case internal::kSuspects:
        return internal::FromWire(
            body.get().as<std::vector<internal::suspect_wire>>());
      case internal::kLiveJobs:
        return internal::FromWire(body.get().as<internal::live_jobs_wire>());
      case internal::kJobsWanted:
        return internal::FromWire(body.get().as<internal::jobs_wanted_wire>());
      default:
        return std::nullopt;
    }
  } catch (const std::exception&) {
    // The library reports both malformed bytes and wrong types this way.
    return std::nullopt;
  }
}

}  // namespace acaciaferry::mesh
