#include "support/test_network.hpp"

#include <algorithm>
#include <utility>

#include "acaciaferry/configuration/state.hpp"
#include "acaciaferry/membership/roles.hpp"
#include "acaciaferry/peer/codec.hpp"
#include "acaciaferry/reducer/reduce.hpp"

namespace acaciaferry::test {
namespace {

constexpr duration kStep = std::chrono::milliseconds(100);
constexpr std::uint64_t kLongestDelaySteps = 30;
constexpr unsigned kIncarnationShift = 16;

}  // namespace

std::string DocumentText(std::uint64_t number) {
  return "[deployment]\nname = works\n\n[policy]\nshort_weight = 3\n"
         "long_weight = 1\nshort_only_floor = 0.4\nretry_budget = 0.1\n"
         "entry_vms = " +
         std::to_string(number % 100 + 1) +
         "\nfailure_domains = 3\nweight_store_rate = 6\n";
}

test_network::test_network(const std::vector<std::size_t>& domains,
                           std::uint64_t seed)
    : random_(seed) {
  for (std::size_t domain = 0; domain < domains.size(); ++domain) {
    for (std::size_t i = 0; i < domains[domain]; ++i) {
      test_node node;
      node.domain = "d" + std::to_string(domain);
      node.name = node.domain + "-vm" + std::to_string(i);
      node.clock_offset = std::chrono::seconds(random_() % 100'000);
      node.incarnation = (1'000 + nodes.size()) << kIncarnationShift;
      vms.push_back({.name = node.name,
                     .address = node.name + ":1",
                     .failure_domain = {node.domain},
                     .incarnation = node.incarnation});
      nodes.push_back(std::move(node));
    }
  }
  side_.resize(nodes.size());
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    Start(i);
  }
}

void test_network::Start(std::size_t index) {
  test_node& node = nodes[index];
  node.state = {};
  node.sequence = 0;
  node.checked.clear();
  // A new process starts without a configuration.
  node.highest_revision = 0;
  node.state.self = {{node.name}, {node.domain}, {}, node.incarnation};
  node.state.membership.self = {node.name};
  node.state.membership.failure_domain = {node.domain};
  Post(node, listeners_bound{node.name + ":1", node.name + ":2"});
  Post(node, vm_list_received{vms});
}

void test_network::Restart(std::size_t index, bool clock_set_back) {
  test_node& node = nodes[index];
  const std::uint64_t shift = (1 + random_() % 50) << kIncarnationShift;
  node.incarnation += clock_set_back ? -shift : shift;
  vms[index].incarnation = node.incarnation;
  node.paused = false;
  Start(index);
}

void test_network::Heal() {
  side_.assign(nodes.size(), false);
  fates = {};
  for (test_node& node : nodes) {
    node.paused = false;
    node.reads_service = true;
  }
}

void test_network::Publish(std::uint64_t revision, std::string text) {
  published_ = revision;
  document_ = std::make_shared<const std::string>(std::move(text));
}

void test_network::Run(duration time) {
  for (const duration end = now_ + time; now_ < end;) {
    Step();
  }
}

void test_network::Step() {
  now_ += kStep;
  Deliver();
  const bool list_is_read = now_ % std::chrono::seconds(1) == duration{};
  for (test_node& node : nodes) {
    if (node.paused) {
      continue;
    }
    if (list_is_read) {
      Post(node, vm_list_received{vms});
    }
    for (const event& each : std::exchange(node.checked, {})) {
      Post(node, each);
    }
    ReadService(node);
    Post(node, timer_expired{});
  }
}

void test_network::ReadService(test_node& node) {
  const state& known = node.state;
  const bool is_watcher = IsResponsible(known.membership, role::kWatch,
                                        {known.self.failure_domain, ""});
  const bool has_news =
      document_ && published_ > HighestKnownRevision(known.configuration);
  if (node.reads_service && has_news && (is_watcher || !known.config)) {
    Post(node, configuration_read{published_, document_});
  }
}

void test_network::Post(test_node& node, const event& event) {
  const auto from = static_cast<std::size_t>(&node - nodes.data());
  const time_point now{now_ + node.clock_offset};
  for (effect& each : Reduce(node.state, event, now)) {
    if (const auto* const message = std::get_if<send_to_peers>(&each)) {
      Send(from, *message);
    } else if (const auto* const count =
                   std::get_if<count_peer_message>(&each)) {
      ++node.verdicts[count->verdict];
    } else if (const auto* const check =
                   std::get_if<check_configuration>(&each)) {
      configuration_checked result{check->revision, check->text, {}, {}};
      result.config = std::make_shared<const deployment>(
          ParseDeployment(*check->text, check->revision, result.faults));
      node.checked.emplace_back(std::move(result));
    } else if (on_effect) {
      on_effect(node, each);
    }
  }
  const std::uint64_t revision =
      node.state.config ? node.state.config->revision : 0;
  node.reverted = node.reverted || revision < node.highest_revision;
  node.highest_revision = std::max(node.highest_revision, revision);
}

void test_network::Send(std::size_t from, const send_to_peers& message) {
  test_node& sender = nodes[from];
  const std::string payload = EncodePayload(
      {{sender.name}, sender.incarnation, ++sender.sequence, message.body});
  for (const std::string& address : message.addresses) {
    const std::size_t to = IndexOf(address);
    if (to == nodes.size() || Chance(fates.lost)) {
      continue;
    }
    const std::size_t copies = Chance(fates.duplicated) ? 2 : 1;
    for (std::size_t i = 0; i < copies; ++i) {
      const std::uint64_t steps =
          Chance(fates.delayed) ? random_() % kLongestDelaySteps : 0;
      parcels_.push_back(
          {from, to, payload, now_ + static_cast<int>(steps) * kStep});
    }
  }
}

void test_network::Deliver() {
  for (std::size_t left = parcels_.size(); left > 0; --left) {
    const parcel each = std::move(parcels_.front());
    parcels_.pop_front();
    if (side_[each.from] != side_[each.to]) {
      continue;
    }
    // A paused process reads its messages when it resumes.
    if (each.due > now_ || nodes[each.to].paused) {
      parcels_.push_back(each);
      continue;
    }
    decoded_message decoded = DecodePayload(
        {reinterpret_cast<const std::uint8_t*>(each.payload.data()),
         each.payload.size()});
    Post(nodes[each.to], peer_message_received{std::move(decoded.message)});
  }
}

bool test_network::Chance(unsigned percent) {
  return random_() % 100 < percent;
}

std::size_t test_network::IndexOf(const std::string& address) const {
  const auto found = std::find_if(
      vms.begin(), vms.end(),
      [&address](const vm_record& vm) { return vm.address == address; });
  return static_cast<std::size_t>(found - vms.begin());
}

}  // namespace acaciaferry::test
