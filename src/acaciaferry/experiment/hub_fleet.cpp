#include "acaciaferry/experiment/hub_fleet.hpp"

#include <algorithm>
#include <utility>

#include "acaciaferry/experiment/hub_fleet_parts.hpp"

namespace acaciaferry {
namespace internal {
namespace {

constexpr std::uint32_t kLargeCapacity = 500;
constexpr std::uint32_t kSmallCapacity = 120;
constexpr std::size_t kSeeds = 3;
constexpr std::size_t kSeedStep = 7;
constexpr duration kStartSpread = std::chrono::milliseconds(300);

forwarding::engine_properties Engine(const hub_fleet_plan& plan) {
  forwarding::engine_properties engine;
  engine.slots = plan.slots;
  engine.memory_tokens = 232'000;
  engine.steps_per_pass = 68;
  engine.step_ms = 1.02;
  engine.prefill_tokens_per_ms =
      plan.engine_queues ? plan.engine_queues->prefill_tokens_per_ms : 206;
  engine.prefill_ms_per_m_pairs = 0.138;
  engine.mean_prompt_tokens = 14'000;
  return engine;
}

// What a VM of an older release sends, or reads, of a message.
std::string AsInOlderRelease(const std::string& bytes,
                             bool names_no_tunnels,
                             time_point now) {
  const auto message = mesh::Decode(bytes, now);
  const auto* sent =
      message ? std::get_if<mesh::heartbeat>(&*message) : nullptr;
  if (sent == nullptr) {
    return bytes;
  }
  mesh::heartbeat old = *sent;
  old.reads_evacuations = false;
  if (names_no_tunnels) {
    old.known_tunnels.clear();
  }
  return mesh::Encode(old, now).front();
}

}  // namespace
}  // namespace internal

hub_fleet::hub_fleet(const hub_fleet_plan& plan)
    : plan_(plan),
      clock_(std::make_unique<virtual_clock>()),
      random_(plan.seed),
      reaches_service_([](std::size_t) { return true; }),
      is_partitioned_([](std::size_t) { return false; }) {
  clock_->now = time_point(std::chrono::seconds(100));
  table_.pools = {{internal::kHubFleetPool, internal::Engine(plan), plan.cold}};
  for (std::size_t domain = 0; domain < plan.domains; ++domain) {
    for (std::size_t index = 0; index < plan.engines_per_domain; ++index) {
      engine made;
      made.id.value =
          "e" + std::to_string(domain) + "-" + std::to_string(index);
      engines_.push_back(std::move(made));
    }
  }
  for (std::size_t index = 0; index < plan.vms_per_domain; ++index) {
    for (std::size_t domain = 0; domain < plan.domains; ++domain) {
      AddVm(domain);
    }
  }
  for (std::size_t seed = 0; seed < internal::kSeeds; ++seed) {
    seeds_.push_back(
        vms_[(plan.first_seed + seed * internal::kSeedStep) % vms_.size()]
            ->address);
  }
  for (std::size_t index = 0; index < vms_.size(); ++index) {
    After(duration(static_cast<std::int64_t>(DrawBelow(
              random_,
              static_cast<std::uint64_t>(internal::kStartSpread.count())))),
          [this, index] { Start(index); });
  }
}

hub_fleet::~hub_fleet() = default;

time_point hub_fleet::Now() const noexcept {
  return clock_->now;
}

void hub_fleet::AddVm(std::size_t domain) {
  auto made = std::make_unique<vm>();
  const std::size_t index = vms_.size();
  made->domain = domain;
  made->address = "10." + std::to_string(domain) + "." +
                  std::to_string(index / 200) + "." +
                  std::to_string(index % 200) + ":7340";
  made->capacity = index / plan_.domains < plan_.large_vms_per_domain
                       ? internal::kLargeCapacity
                       : internal::kSmallCapacity;
  const bool is_large = made->capacity == internal::kLargeCapacity;
  made->names_no_tunnels = plan_.large_vms_name_no_tunnels && is_large;
  made->reads_no_evacuations = plan_.large_vms_read_no_evacuations && is_large;
  if (plan_.old_release_every > 0 && index % plan_.old_release_every == 0) {
    made->capacity = 0;
  }
  by_address_[made->address] = index;
  vms_.push_back(std::move(made));
}

void hub_fleet::After(duration delay, std::function<void()> step) {
  steps_.push({clock_->now + delay, next_order_++, std::move(step)});
}

void hub_fleet::AfterAt(std::size_t vm,
                        duration delay,
                        std::function<void()> step) {
  const std::uint64_t life = vms_[vm]->life;
  After(delay, [this, vm, life, step = std::move(step)] {
    if (vms_[vm]->running && vms_[vm]->life == life) {
      step();
    }
  });
}

mesh::local_status hub_fleet::StatusOf(std::size_t vm) const {
  const auto& self = *vms_[vm];
  return {{0, self.revision, self.revision},
          false,
          self.revision > 0,
          self.reads && reaches_service_(vm),
          self.revision,
          self.revision > 0 && !self.state->reach.IsAnyOutOfReach(),
          self.is_complete};
}

void hub_fleet::Start(std::size_t vm) {
  auto& self = *vms_[vm];
  self.running = true;
  ++self.life;
  self.revision = 0;
  self.reads = false;
  self.is_complete = false;
  self.waiting.clear();
  self.first_tries.clear();
  constexpr unsigned kRandomBits = 16;
  const std::uint64_t incarnation =
      next_incarnation_++ << kRandomBits | DrawBelow(random_, 1'000);
  self.state = std::make_unique<forwarding::state>(
      evidence_source{{self.address}, incarnation},
      forwarding::retry_bound{0.2, std::chrono::seconds(10), 660}, incarnation);
  self.state->failure_domain = internal::DomainId(self.domain);
  self.state->admits_by_slots = plan_.admits_by_slots;
  SetPools(*self.state, table_);
  mesh::peer_protocol::handlers handlers;
  handlers.send = [this, vm](const std::string& address,
                             const std::string& bytes) {
    Deliver(vm, address, bytes);
  };
  handlers.request_flush = [this, vm](duration after) {
    AfterAt(vm, after, [this, vm] { vms_[vm]->protocol->FlushNews(); });
  };
  handlers.post = [this, vm](const forwarding::event& happened) {
    Post(vm, happened);
  };
  handlers.status = [this, vm] { return StatusOf(vm); };
  handlers.on_newer_view = [this, vm](const mesh::view_source& source) {
    Fetch(vm, source);
    return true;
  };
  handlers.on_heartbeat_interval = [this, vm] {
    auto& owner = *vms_[vm];
    owner.reads = owner.protocol->ShouldReadService();
    if (owner.reads && reaches_service_(vm)) {
      owner.revision = std::max(owner.revision, published_revision_);
      owner.is_complete = true;
    }
  };
  handlers.log = [](std::string_view, const auto&) {};
  handlers.on_malformed = [] {};
  handlers.on_unknown_sender = [] {};
  self.protocol = std::make_unique<mesh::peer_protocol>(
      mesh::peer_identity{
          {self.address},
          internal::DomainId(self.domain),
          incarnation,
          self.address,
          self.address,
          seeds_,
          std::find(seeds_.begin(), seeds_.end(), self.address) != seeds_.end(),
          self.capacity},
      *self.state, *clock_, std::move(handlers));
  self.publication = publications_;
  if (!evacuated_.empty()) {
    Post(vm, forwarding::domains_evacuated{evacuated_});
  }
  Post(vm, forwarding::targets_published{PublishedTargets()});
  OnInterval(vm);
}

void hub_fleet::Stop(std::size_t vm) {
  vms_[vm]->running = false;
}

std::uint64_t hub_fleet::Refusals(failure_code code) const {
  const auto at = refusals_by_code_.find(code);
  return at == refusals_by_code_.end() ? 0 : at->second;
}

void hub_fleet::Join(std::size_t vms_per_domain) {
  const std::size_t before = vms_.size();
  for (std::size_t index = 0; index < vms_per_domain; ++index) {
    for (std::size_t domain = 0; domain < plan_.domains; ++domain) {
      AddVm(domain);
    }
  }
  for (std::size_t index = before; index < vms_.size(); ++index) {
    Start(index);
  }
}

void hub_fleet::OnInterval(std::size_t vm) {
  const duration next = vms_[vm]->protocol->OnHeartbeatInterval();
  AfterAt(vm, next, [this, vm] { OnInterval(vm); });
}

void hub_fleet::Deliver(std::size_t from,
                        const std::string& address,
                        const std::string& bytes) {
  constexpr std::uint64_t kHundredPercent = 100;
  auto& sender = *vms_[from];
  const auto found = by_address_.find(address);
  if (found == by_address_.end()) {
    return;
  }
  const std::size_t to = found->second;
  const std::size_t other = vms_[to]->domain;
  ++sender.traffic.datagrams_sent;
  sender.traffic.bytes_sent += bytes.size();
  sender.traffic.bytes_between_domains +=
      sender.domain == other ? 0 : bytes.size();
  const bool is_cut = cut_off_ && sender.domain != other &&
                      (sender.domain == *cut_off_ || other == *cut_off_);
  if (is_cut || !vms_[to]->running ||
      DrawBelow(random_, kHundredPercent) < plan_.lost_percent) {
    return;
  }
  const bool names_no_tunnels =
      sender.names_no_tunnels || vms_[to]->names_no_tunnels;
  const bool is_old = names_no_tunnels || sender.reads_no_evacuations;
  AfterAt(to, plan_.network_delay,
          [this, to,
           bytes = is_old ? internal::AsInOlderRelease(bytes, names_no_tunnels,
                                                       clock_->now)
                          : bytes,
           sender_address = sender.address] {
            ++vms_[to]->traffic.datagrams_received;
            vms_[to]->traffic.bytes_received += bytes.size();
            vms_[to]->traffic.received_by_kind[mesh::KindOf(bytes)] +=
                bytes.size();
            vms_[to]->protocol->OnDatagram(bytes, sender_address);
          });
}

void hub_fleet::Run(duration length,
                    double calls_per_s,
                    std::uint64_t prompt_tokens) {
  const time_point end = clock_->now + length;
  const duration interval =
      calls_per_s > 0 ? FromSeconds(1 / calls_per_s) : length;
  time_point next_call = clock_->now + interval;
  while (clock_->now < end) {
    const time_point next_step =
        steps_.empty() ? end : std::min(steps_.top().at, end);
    if (calls_per_s > 0 && next_call <= next_step) {
      clock_->now = next_call;
      next_call += interval;
      StartCall(prompt_tokens);
      continue;
    }
    clock_->now = next_step;
    if (!steps_.empty() && steps_.top().at <= clock_->now) {
      const auto step = steps_.top().step;
      steps_.pop();
      step();
    }
  }
}

void hub_fleet::ResetCounts() {
  for (auto& each : vms_) {
    each->traffic = {};
  }
  for (engine& each : engines_) {
    each.arrivals.clear();
  }
  most_ = 0;
  calls_ = 0;
  refusals_ = 0;
  refusals_by_code_.clear();
  rejected_ = 0;
  longest_placement_ = {};
}

bool hub_fleet::IsRunning(std::size_t vm) const {
  return vms_[vm]->running;
}

std::size_t hub_fleet::DomainOf(std::size_t vm) const {
  return vms_[vm]->domain;
}

std::vector<std::string> hub_fleet::HubsOf(std::size_t vm) const {
  std::vector<std::string> addresses;
  for (const mesh::peer_summary& each :
       vms_[vm]->protocol->Roster().OwnHubs(clock_->now)) {
    addresses.push_back(each.datagram_address);
  }
  return addresses;
}

bool hub_fleet::AgreesOnHubs() const {
  std::map<std::size_t, std::vector<std::string>> by_domain;
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    if (!vms_[vm]->running) {
      continue;
    }
    const auto hubs = HubsOf(vm);
    const auto [at, added] = by_domain.try_emplace(vms_[vm]->domain, hubs);
    if (at->second != hubs ||
        std::any_of(hubs.begin(), hubs.end(), [&](const std::string& each) {
          return !vms_[IndexOf(each)]->running;
        })) {
      return false;
    }
  }
  return true;
}

bool hub_fleet::IsHub(std::size_t vm) const {
  return vms_[vm]->protocol->Roster().IsHub(clock_->now);
}

std::size_t hub_fleet::IndexOf(const std::string& datagram_address) const {
  return by_address_.at(datagram_address);
}

const vm_traffic& hub_fleet::TrafficOf(std::size_t vm) const {
  return vms_[vm]->traffic;
}

std::size_t hub_fleet::VmsBehind() const {
  return static_cast<std::size_t>(
      std::count_if(vms_.begin(), vms_.end(), [&](const auto& each) {
        return each->running && each->revision < published_revision_;
      }));
}

std::size_t hub_fleet::ServiceReaders() const {
  return static_cast<std::size_t>(std::count_if(
      vms_.begin(), vms_.end(),
      [](const auto& each) { return each->running && each->reads; }));
}

std::uint64_t hub_fleet::HeardVmsOf(std::size_t vm) const {
  return vms_[vm]->protocol->Roster().HeardVmCount(clock_->now);
}

const forwarding::state& hub_fleet::StateOf(std::size_t vm) const {
  return *vms_[vm]->state;
}

void hub_fleet::Broadcast(std::size_t vm, const mesh::message& message) {
  vms_[vm]->protocol->Broadcast(message);
}

}  // namespace acaciaferry
