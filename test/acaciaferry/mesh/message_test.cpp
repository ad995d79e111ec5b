#include "acaciaferry/mesh/message.hpp"

#include <rapidcheck.h>

#include <cmath>
#include <msgpack.hpp>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::mesh;
using std::chrono::milliseconds;

namespace {

time_point At(int ms) {
  return time_point(milliseconds(ms));
}

forwarding::job Job(std::uint64_t key) {
  forwarding::job made;
  made.key = key;
  made.target.value = "i-12345678";
  made.prefill_time = milliseconds(26);
  made.is_part = true;
  made.first_event_due = At(1'300);
  made.weight = 2.5;
  made.is_decode = true;
  made.gap_objective = milliseconds(250);
  made.memory_tokens = 6'300;
  made.context_tokens = 5'000;
  made.deadline = At(11'000);
  return made;
}

}  // namespace

TEST_GROUP(MeshMessage){};

// Guards against fields that are swapped or change units between encoding and
// decoding.
TEST(MeshMessage, LoadUpdateSurvivesARoundTrip) {
  const load_update sent{
      {Job(1), Job(2)}, {7, 8}, {{{"t"}, milliseconds(700)}}};
  const auto datagrams = Encode(sent, At(1'000));
  LONGS_EQUAL(1, datagrams.size());
  const auto got = std::get<load_update>(*Decode(datagrams[0], At(1'000)));
  CHECK_TRUE(got.jobs == sent.jobs);
  CHECK_TRUE(got.ended == sent.ended);
  CHECK_TRUE(got.distrusted[0].remaining == milliseconds(700));
}

// Guards against datagrams that the network would fragment.
TEST(MeshMessage, DatagramsStaySmall) {
  load_update sent;
  for (std::uint64_t key = 0; key < 100; ++key) {
    sent.jobs.push_back(Job(~key));
    sent.ended.push_back(~key);
  }
  std::size_t jobs = 0;
  for (const std::string& each : Encode(sent, At(0))) {
    CHECK_TRUE(each.size() <= kMaxDatagramBytes);
    jobs += std::get<load_update>(*Decode(each, At(0))).jobs.size();
  }
  LONGS_EQUAL(100, jobs);
}

// Guards against a heartbeat that its receiver can't decode.
TEST(MeshMessage, HeartbeatSurvivesARoundTrip) {
  const heartbeat sent{{"vm"},       {"a"}, 5,    "10.0.0.1:1",
                       "10.0.0.1:2", 9,     true, {"a", "b"}};
  CHECK_TRUE(std::get<heartbeat>(*Decode(Encode(sent, At(0))[0], At(0))) ==
             sent);
}

// Guards against VMs of two releases that don't understand each other's
// heartbeats: an older one sends fewer fields (8, then 11 before there were
// hubs, 19 before there were tunnels, 20 before tunnels were named, and 21
// before evacuations were read), a later one more.
TEST(MeshMessage, HeartbeatsOfOtherReleasesAreUnderstood) {
  const std::vector<std::string> peers{"a"};
  for (const std::uint32_t fields : {8U, 11U, 19U, 20U, 21U, 23U}) {
    msgpack::sbuffer buffer;
    buffer.write("\x01", 1);
    msgpack::packer packer(buffer);
    packer.pack(1U);
    packer.pack_array(fields);
    packer.pack("vm").pack("a").pack(5U).pack("10.0.0.1:1").pack("10.0.0.1:2");
    packer.pack(9U).pack(true).pack(peers);
    if (fields > 8) {
      packer.pack(81U).pack(2U).pack(7U);
    }
    if (fields > 11) {
      packer.pack(250U).pack(true).pack(1U).pack(3U).pack(4U).pack(5U);
      packer.pack_array(1);
      packer.pack_array(4);
      packer.pack("10.0.0.2:1").pack("a").pack(6U).pack(120U);
      packer.pack(true);
    }
    if (fields > 19) {
      packer.pack(true);
    }
    if (fields > 20) {
      packer.pack(std::vector<std::string>{"10.0.0.3:1"});
    }
    if (fields > 21) {
      packer.pack(true);
      packer.pack("later");
    }
    const auto decoded =
        Decode(std::string_view(buffer.data(), buffer.size()), At(0));
    CHECK_TRUE(decoded.has_value());
    const auto& read = std::get<heartbeat>(*decoded);
    LONGS_EQUAL(9, read.last_change_revision);
    LONGS_EQUAL(fields > 8 ? 81 : 0, read.peak_vm_count);
    LONGS_EQUAL(fields > 8 ? 2 : 0, read.view_era);
    LONGS_EQUAL(fields > 8 ? 7 : 0, read.configuration_version);
    LONGS_EQUAL(fields > 11 ? 250 : 0, read.capacity);
    CHECK_TRUE(read.plans == (fields > 11));
    CHECK_TRUE(read.service == (fields > 11 ? service_contact::kDirect
                                            : service_contact::kNone));
    LONGS_EQUAL(fields > 11 ? 1 : 0, read.first_vms.size());
    CHECK_TRUE(read.asks_for_hubs == (fields > 11));
    CHECK_TRUE(read.tunnels == (fields > 19));
    LONGS_EQUAL(fields > 20 ? 1 : 0, read.known_tunnels.size());
    CHECK_TRUE(read.reads_evacuations == (fields > 21));
  }
}

// Guards against a query or a verdict that its receiver reads as another one.
TEST(MeshMessage, PlacementsSurviveARoundTrip) {
  forwarding::placement_query query;
  query.key = ~std::uint64_t{7};
  query.pool = {"pool"};
  query.prompt_tokens = 190'000;
  query.output_tokens = 300;
  query.latency_objective = std::chrono::milliseconds(3'000);
  query.gap_objective = std::chrono::milliseconds(1'000);
  query.waited = std::chrono::milliseconds(12);
  query.time_left = std::chrono::milliseconds(14'000);
  query.is_first_attempt = true;
  query.tried = {{"e1"}};
  query.refusing = {{"e2"}, {"e3"}};
  query.workspace = {"w"};
  query.fingerprint = ~std::uint64_t{9};
  CHECK_TRUE(std::get<forwarding::placement_query>(
                 *Decode(Encode(query, At(0))[0], At(0))) == query);
  forwarding::placed_call placed;
  placed.at = {{"e4"}, {{"e5"}, {"e6"}}, duration(70), duration(900), 0.25};
  placed.memory = {{{"e5"}, 90'000}};
  placed.decode_target_tokens = 100'300;
  for (const forwarding::placement_verdict& verdict :
       {forwarding::placement_verdict(placed),
        forwarding::placement_verdict(
            forwarding::deferred_call{std::chrono::milliseconds(40)}),
        forwarding::placement_verdict(forwarding::refused_call{
            failure_code::kShed, std::chrono::milliseconds(700)})}) {
    const forwarding::placement_answer answer{query.key, verdict};
    const auto datagrams = Encode(answer, At(0));
    LONGS_EQUAL(1, datagrams.size());
    CHECK_TRUE(std::get<forwarding::placement_answer>(
                   *Decode(datagrams[0], At(0))) == answer);
  }
}

// Guards against VMs of two releases that don't understand each other's
// queries: an older one sends 11 fields and reads the first 11 of a later one.
TEST(MeshMessage, QueriesOfOtherReleasesAreUnderstood) {
  const std::vector<std::string> tried{"e1"};
  const std::vector<std::string> refusing{"e2"};
  for (const std::uint32_t fields : {11U, 13U, 14U}) {
    msgpack::sbuffer buffer;
    buffer.write("\x01", 1);
    msgpack::packer packer(buffer);
    packer.pack(9U);
    packer.pack_array(fields);
    packer.pack(77U).pack("pool").pack(5'000U).pack(300U);
    packer.pack(250U).pack(100U).pack(12U).pack(9'000U).pack(true);
    packer.pack(tried).pack(refusing);
    if (fields > 11) {
      packer.pack("w").pack(~std::uint64_t{9});
    }
    if (fields > 13) {
      packer.pack("later");
    }
    const auto decoded =
        Decode(std::string_view(buffer.data(), buffer.size()), At(0));
    CHECK_TRUE(decoded.has_value());
    const auto& read = std::get<forwarding::placement_query>(*decoded);
    CHECK_TRUE(read.refusing == std::vector<target_id>{{"e2"}});
    STRCMP_EQUAL(fields > 11 ? "w" : "", read.workspace.value.c_str());
    CHECK_TRUE(read.fingerprint == (fields > 11 ? ~std::uint64_t{9} : 0));
  }
  // What an older VM reads of a query of this release.
  forwarding::placement_query query;
  query.key = 77;
  query.pool = {"pool"};
  query.refusing = {{"e2"}};
  query.workspace = {"w"};
  query.fingerprint = 5;
  const std::string sent = Encode(query, At(0)).front();
  std::size_t offset = 1;
  LONGS_EQUAL(9, msgpack::unpack(sent.data(), sent.size(), offset)
                     .get()
                     .as<std::uint32_t>());
  const auto body = msgpack::unpack(sent.data(), sent.size(), offset);
  LONGS_EQUAL(13, body.get().via.array.size);
  const auto* items = body.get().via.array.ptr;
  LONGS_EQUAL(77, items[0].as<std::uint64_t>());
  STRCMP_EQUAL("pool", items[1].as<std::string>().c_str());
  STRCMP_EQUAL("e2", items[10].as<std::vector<std::string>>().front().c_str());
}

// Guards against a receiver that drops live dispatches because it received a
// partial list.
TEST(MeshMessage, LiveDispatchesAreSentCompletelyOrNotAtAll) {
  live_dispatches sent{5, "10.0.0.1:1", {}};
  for (std::uint64_t key = 0; key < kMaxLiveDispatches; ++key) {
    sent.dispatches.push_back(~key);
  }
  const auto datagrams = Encode(sent, At(0));
  LONGS_EQUAL(1, datagrams.size());
  CHECK_TRUE(datagrams[0].size() <= kMaxDatagramBytes);
  CHECK_TRUE(std::get<live_dispatches>(*Decode(datagrams[0], At(0))) == sent);
  sent.dispatches.push_back(7);
  CHECK_TRUE(Encode(sent, At(0)).empty());
  const dispatch_request wanted{"10.0.0.2:1", {1, 2}};
  CHECK_TRUE(std::get<dispatch_request>(
                 *Decode(Encode(wanted, At(0))[0], At(0))) == wanted);
}

// Guards against limits of targets that peers don't learn, and against reports
// that no limit can have.
TEST(MeshMessage, LimitReportsSurviveARoundTrip) {
  forwarding::limit_reports_received sent;
  for (std::uint64_t i = 0; i < 40; ++i) {
    sent.reports.push_back({{"i-0123456789"},
                            i,
                            i == 3 ? std::nullopt : std::optional(0.5 * i),
                            milliseconds(i),
                            0.25 * i,
                            milliseconds(10 * i)});
  }
  std::vector<forwarding::limit_report> received;
  for (const std::string& each : Encode(sent, At(0))) {
    CHECK_TRUE(each.size() <= kMaxDatagramBytes);
    const auto decoded = Decode(each, At(0));
    const auto& reports =
        std::get<forwarding::limit_reports_received>(*decoded).reports;
    received.insert(received.end(), reports.begin(), reports.end());
  }
  CHECK_TRUE(received == sent.reports);
  sent.reports = {{{"t"}, 1, std::nan(""), {}, 0},
                  {{"t"}, 1, 1.0, {}, std::nan("")}};
  CHECK_TRUE(std::get<forwarding::limit_reports_received>(
                 *Decode(Encode(sent, At(0))[0], At(0)))
                 .reports.empty());
}

namespace {

// A report of release f1be9e1, which knows of no cold targets.
struct limit_wire_f1be9e1 {
  std::string target;
  std::uint64_t incarnation{};
  double requests_per_s{};
  std::int64_t age_ms{};
  double debt{};
  MSGPACK_DEFINE_ARRAY(target, incarnation, requests_per_s, age_ms, debt)
};

}  // namespace

// Guards against VMs of f1be9e1 that don't read the reports of newer ones, that
// take a cold target for one with a limit of its own, or whose own reports
// aren't read.
TEST(MeshMessage, LimitReportsAreReadByAReleaseWithoutColdTargets) {
  const forwarding::limit_report cold{
      {"t"}, 7, std::nullopt, milliseconds(20), 1.5, milliseconds(2'000)};
  const std::string datagram =
      Encode(forwarding::limit_reports_received{{cold}}, At(0))[0];
  std::size_t offset = 1;
  static_cast<void>(msgpack::unpack(datagram.data(), datagram.size(), offset));
  const auto body = msgpack::unpack(datagram.data(), datagram.size(), offset);
  const auto read = body.get().as<std::vector<limit_wire_f1be9e1>>();
  LONGS_EQUAL(1, read.size());
  LONGS_EQUAL(7, read[0].incarnation);
  CHECK_TRUE(read[0].requests_per_s < 0);
  LONGS_EQUAL(20, read[0].age_ms);
  DOUBLES_EQUAL(1.5, read[0].debt, 0);
  msgpack::sbuffer old;
  msgpack::pack(old, std::vector<limit_wire_f1be9e1>{{"t", 7, 3.0, 20, 1.5}});
  const std::string kind = datagram.substr(0, 2);
  const auto decoded =
      Decode(kind + std::string(old.data(), old.size()), At(0));
  const auto& reports =
      std::get<forwarding::limit_reports_received>(*decoded).reports;
  LONGS_EQUAL(1, reports.size());
  CHECK_TRUE(reports[0] ==
             (forwarding::limit_report{{"t"}, 7, 3.0, milliseconds(20), 1.5}));
}

// Guards against a leaving target that peers don't hear of, and against a VM of
// an older release that rejects the news that it does not know.
TEST(MeshMessage, LeavingTargetsSurviveARoundTrip) {
  load_update sent;
  for (std::uint64_t i = 0; i < 40; ++i) {
    sent.leaving.push_back({{"i-" + std::to_string(i)}, i});
  }
  load_update got;
  for (const std::string& each : Encode(sent, At(0))) {
    CHECK_COMPARE(each.size(), <=, kMaxDatagramBytes);
    const auto part = std::get<load_update>(*Decode(each, At(0)));
    got.leaving.insert(got.leaving.end(), part.leaving.begin(),
                       part.leaving.end());
  }
  CHECK_TRUE(got.leaving == sent.leaving);
}

// Guards against a crash on arbitrary bytes from the network.
TEST(MeshMessage, AnyBytesAreDecodedOrRejected) {
  CHECK_FALSE(Decode("", At(0)).has_value());
  CHECK_FALSE(Decode("\x02rest", At(0)).has_value());
  const auto held = rc::check([](std::string bytes, bool is_ours) {
    if (is_ours) {
      bytes.insert(bytes.begin(), '\x01');
    }
    static_cast<void>(Decode(bytes, At(0)));
  });
  CHECK_TRUE(held);
  const std::string whole = Encode(load_update{{Job(1)}, {}, {}}, At(0))[0];
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(Decode(whole.substr(0, size), At(0)).has_value());
  }
}

// Guards against a process that ends because of a datagram that is nested
// without end, or claims lengths that no memory holds.
TEST(MeshMessage, OddDatagramsAreRejected) {
  const std::string whole = Encode(load_update{{Job(1)}, {}, {}}, At(0))[0];
  std::string nested_maps;
  for (int i = 0; i < 30'000; ++i) {
    nested_maps += "\x81\x01";
  }
  for (const std::string& bytes : {std::string(60'000, '\x91'), nested_maps,
                                   std::string("\xdd\xff\xff\xff\xff"),
                                   std::string("\xdf\xff\xff\xff\xff"),
                                   std::string("\xdb\xff\xff\xff\xff")}) {
    // After the version, and after the version and the kind of message.
    for (std::size_t kept = 0; kept <= 4; ++kept) {
      CHECK_FALSE(Decode(whole.substr(0, kept) + bytes, At(0)).has_value());
    }
  }
}

// Guards against evidence on prompt parts that is lost or fragmented on its
// way.
TEST(MeshMessage, PartCrashesSurviveARoundTripInSmallDatagrams) {
  part_crashes_received sent;
  for (std::uint64_t i = 0; i < 40; ++i) {
    sent.crashes.push_back({{{"front-tx-a-1"}, ~i},
                            ~i,
                            {"i-0123456789"},
                            At(static_cast<int>(100 * i)),
                            std::vector<prompt_part>(i % 33, ~i)});
  }
  part_crashes_received got;
  for (const std::string& each : Encode(sent, At(60'000))) {
    CHECK_TRUE(each.size() <= kMaxDatagramBytes);
    const auto part =
        std::get<part_crashes_received>(*Decode(each, At(60'000)));
    got.crashes.insert(got.crashes.end(), part.crashes.begin(),
                       part.crashes.end());
  }
  CHECK_TRUE(got.crashes == sent.crashes);
}

// Guards against answers on suspected parts that peers don't hear of.
TEST(MeshMessage, BegunPartsSurviveARoundTripInSmallDatagrams) {
  begun_parts_received sent;
  for (std::uint64_t i = 0; i < 100; ++i) {
    sent.parts.push_back({~i, milliseconds(i)});
  }
  begun_parts_received got;
  for (const std::string& each : Encode(sent, At(0))) {
    CHECK_TRUE(each.size() <= kMaxDatagramBytes);
    const auto part = std::get<begun_parts_received>(*Decode(each, At(0)));
    got.parts.insert(got.parts.end(), part.parts.begin(), part.parts.end());
  }
  CHECK_TRUE(got.parts == sent.parts);
}

namespace {

// A report on a suspect, as release 8382474 writes and reads it.
struct suspect_of_8382474 {
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

suspect_reports_received ManySuspects() {
  suspect_reports_received sent;
  for (std::uint64_t i = 0; i < 40; ++i) {
    suspect_report report{~i,  {{"front-tx-a-1"}, ~i}, ~i, 3,
                          0.5, milliseconds(i)};
    report.lists_crashes = i % 2 == 0;
    for (std::uint64_t crash = 0; report.lists_crashes && crash < i % 9;
         ++crash) {
      report.listed.push_back({{"i-0123456789"},
                               At(static_cast<int>(1'000 * crash)),
                               milliseconds(70 + crash)});
    }
    sent.reports.push_back(std::move(report));
  }
  return sent;
}

}  // namespace

// Guards against evidence on requests that is lost or fragmented on its way.
TEST(MeshMessage, SuspectsSurviveARoundTripInSmallDatagrams) {
  const auto sent = ManySuspects();
  suspect_reports_received got;
  for (const std::string& each : Encode(sent, At(60'000))) {
    CHECK_TRUE(each.size() <= kMaxDatagramBytes);
    const auto part =
        std::get<suspect_reports_received>(*Decode(each, At(60'000)));
    got.reports.insert(got.reports.end(), part.reports.begin(),
                       part.reports.end());
  }
  CHECK_TRUE(got.reports == sent.reports);
}

// Guards against a report of this release that a VM of 8382474 can't read: it
// reads arrays of up to four levels, and the fields that it knows.
TEST(MeshMessage, ReleasesWithoutListsReadSuspects) {
  const auto sent = ManySuspects();
  std::size_t read = 0;
  for (const std::string& each : Encode(sent, At(60'000))) {
    std::size_t offset = 2;
    const msgpack::unpack_limit limit(1'024, 1'024, 1'400 * 8, 1'400 * 8, 0, 4);
    const auto body = msgpack::unpack(each.data(), each.size(), offset, nullptr,
                                      nullptr, limit);
    for (const auto& report :
         body.get().as<std::vector<suspect_of_8382474>>()) {
      const suspect_report& meant = sent.reports[read++];
      CHECK_TRUE(report.fingerprint == meant.fingerprint);
      STRCMP_EQUAL(meant.source.first.value.c_str(), report.vm.c_str());
      CHECK_TRUE(report.incarnation == meant.source.second);
      CHECK_TRUE(report.version == meant.version);
      LONGS_EQUAL(meant.crashes, report.crashes);
      DOUBLES_EQUAL(meant.weight, report.weight, 1e-9);
      CHECK_TRUE(milliseconds(report.age_ms) == meant.age);
    }
  }
  LONGS_EQUAL(sent.reports.size(), read);
}

// Guards against a report of 8382474 that this release can't read. The bytes
// were kept from that release.
TEST(MeshMessage, SuspectsOfReleasesWithoutListsAreRead) {
  const std::string kept(
      "\x01\x03\x91\x97\xcd\x03\xe8\xa7"
      "front-1\x2a\x05\x02\xcb\x3f\xf8\x00\x00\x00\x00\x00\x00\xcd\x01\x5e",
      30);
  const auto got = std::get<suspect_reports_received>(*Decode(kept, At(0)));
  LONGS_EQUAL(1, got.reports.size());
  const suspect_report expected{1'000, {{"front-1"}, 42}, 5, 2,
                                1.5,   milliseconds(350)};
  CHECK_TRUE(got.reports[0] == expected);
}

namespace {

struct vm_of_8382474 {
  std::string datagram_address;
  std::string failure_domain;
  std::uint64_t incarnation{};
  std::uint32_t capacity{};
  MSGPACK_DEFINE_ARRAY(datagram_address, failure_domain, incarnation, capacity)
};

// A heartbeat, as release 8382474 writes and reads it.
struct heartbeat_of_8382474 {
  std::string vm;
  std::string failure_domain;
  std::uint64_t incarnation{};
  std::string datagram_address;
  std::string view_address;
  std::uint64_t last_change_revision{};
  bool leaving{};
  std::vector<std::string> known_peers;
  std::uint64_t peak_vm_count{};
  std::uint64_t view_era{};
  std::uint64_t configuration_version{};
  std::uint32_t capacity{};
  bool plans{};
  std::uint32_t service{};
  std::uint64_t heard_in_domain{};
  std::uint64_t heard_in_fleet{};
  std::uint64_t view_digest{};
  std::vector<vm_of_8382474> first_vms;
  bool asks_for_hubs{};
  bool tunnels{};
  MSGPACK_DEFINE_ARRAY(vm,
                       failure_domain,
                       incarnation,
                       datagram_address,
                       view_address,
                       last_change_revision,
                       leaving,
                       known_peers,
                       peak_vm_count,
                       view_era,
                       configuration_version,
                       capacity,
                       plans,
                       service,
                       heard_in_domain,
                       heard_in_fleet,
                       view_digest,
                       first_vms,
                       asks_for_hubs,
                       tunnels)
};

// The layout of f1be9e1, the last release that doesn't read evacuations.
struct heartbeat_of_f1be9e1 {
  std::string vm;
  std::string failure_domain;
  std::uint64_t incarnation{};
  std::string datagram_address;
  std::string view_address;
  std::uint64_t last_change_revision{};
  bool leaving{};
  std::vector<std::string> known_peers;
  std::uint64_t peak_vm_count{};
  std::uint64_t view_era{};
  std::uint64_t configuration_version{};
  std::uint32_t capacity{};
  bool plans{};
  std::uint32_t service{};
  std::uint64_t heard_in_domain{};
  std::uint64_t heard_in_fleet{};
  std::uint64_t view_digest{};
  std::vector<vm_of_8382474> first_vms;
  bool asks_for_hubs{};
  bool tunnels{};
  std::vector<std::string> known_tunnels;
  MSGPACK_DEFINE_ARRAY(vm,
                       failure_domain,
                       incarnation,
                       datagram_address,
                       view_address,
                       last_change_revision,
                       leaving,
                       known_peers,
                       peak_vm_count,
                       view_era,
                       configuration_version,
                       capacity,
                       plans,
                       service,
                       heard_in_domain,
                       heard_in_fleet,
                       view_digest,
                       first_vms,
                       asks_for_hubs,
                       tunnels,
                       known_tunnels)
};

// All fields are set, with the longest lists that a hub sends.
heartbeat FullHeartbeat() {
  constexpr std::size_t kFirstVms = 20;
  heartbeat sent{{"front-tx-a-1"},
                 {"central-tx-a"},
                 ~std::uint64_t{5},
                 "10.200.100.101:7340",
                 "10.200.100.101:8229",
                 ~std::uint64_t{9},
                 false,
                 {}};
  sent.peak_vm_count = 295;
  sent.view_era = 2;
  sent.configuration_version = 7;
  sent.capacity = 500;
  sent.plans = true;
  sent.service = service_contact::kThroughHub;
  sent.heard_in_domain = 59;
  sent.heard_in_fleet = 295;
  sent.view_digest = ~std::uint64_t{6};
  sent.first_vms.assign(
      kFirstVms,
      {"10.200.100.102:7340", {"central-tx-a"}, ~std::uint64_t{8}, 120});
  sent.asks_for_hubs = true;
  sent.tunnels = true;
  sent.known_tunnels.assign(kMaxKnownTunnels, "10.200.100.103:7340");
  sent.reads_evacuations = true;
  return sent;
}

}  // namespace

// Guards against a heartbeat that names tunnels and is fragmented on its way.
TEST(MeshMessage, AFullHeartbeatSurvivesARoundTripInOneDatagram) {
  const heartbeat sent = FullHeartbeat();
  const auto datagrams = Encode(sent, At(0));
  LONGS_EQUAL(1, datagrams.size());
  CHECK_COMPARE(datagrams[0].size(), <=, kMaxDatagramBytes);
  CHECK_TRUE(std::get<heartbeat>(*Decode(datagrams[0], At(0))) == sent);
}

// Guards against a heartbeat of this release that a VM of 8382474 can't read:
// it would hear nobody.
TEST(MeshMessage, ReleasesThatNameNoTunnelsReadHeartbeats) {
  const heartbeat sent = FullHeartbeat();
  const std::string datagram = Encode(sent, At(0))[0];
  std::size_t offset = 2;
  const msgpack::unpack_limit limit(1'024, 1'024, 1'400 * 8, 1'400 * 8, 0, 4);
  const auto body = msgpack::unpack(datagram.data(), datagram.size(), offset,
                                    nullptr, nullptr, limit);
  const auto read = body.get().as<heartbeat_of_8382474>();
  STRCMP_EQUAL(sent.vm.value.c_str(), read.vm.c_str());
  CHECK_TRUE(read.incarnation == sent.incarnation);
  CHECK_TRUE(read.view_digest == sent.view_digest);
  LONGS_EQUAL(sent.first_vms.size(), read.first_vms.size());
  CHECK_TRUE(read.asks_for_hubs);
  CHECK_TRUE(read.tunnels);
}

// Guards against a heartbeat of this release that a VM of f1be9e1 can't read,
// and against one of f1be9e1 that counts as one of a VM that reads evacuations.
TEST(MeshMessage, ReleasesThatReadNoEvacuationsExchangeHeartbeats) {
  const heartbeat sent = FullHeartbeat();
  const std::string datagram = Encode(sent, At(0))[0];
  std::size_t offset = 2;
  const msgpack::unpack_limit limit(1'024, 1'024, 1'400 * 8, 1'400 * 8, 0, 4);
  const auto body = msgpack::unpack(datagram.data(), datagram.size(), offset,
                                    nullptr, nullptr, limit);
  const auto read = body.get().as<heartbeat_of_f1be9e1>();
  CHECK_TRUE(read.view_digest == sent.view_digest);
  CHECK_TRUE(read.known_tunnels == sent.known_tunnels);

  msgpack::sbuffer buffer;
  buffer.write(datagram.data(), 2);
  msgpack::pack(buffer, read);
  const auto decoded =
      Decode(std::string_view(buffer.data(), buffer.size()), At(0));
  CHECK_TRUE(decoded.has_value());
  heartbeat expected = sent;
  expected.reads_evacuations = false;
  CHECK_TRUE(std::get<heartbeat>(*decoded) == expected);
}
