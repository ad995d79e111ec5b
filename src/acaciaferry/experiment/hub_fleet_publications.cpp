#include <algorithm>
#include <utility>

#include "acaciaferry/experiment/hub_fleet_parts.hpp"

// What is published to the VMs of the model: targets and evacuations.
namespace acaciaferry {
namespace internal {
namespace {

// VMs see a change of the documents within this time.
constexpr duration kWatchDelay = std::chrono::milliseconds(100);

}  // namespace
}  // namespace internal

std::vector<forwarding::target> hub_fleet::PublishedTargets() const {
  std::vector<forwarding::target> targets;
  for (std::size_t index = 0; index < engines_.size(); ++index) {
    if (engines_[index].withdrawn) {
      continue;
    }
    forwarding::target made;
    made.id = engines_[index].id;
    made.pool = internal::kHubFleetPool;
    made.address = made.id.value + ":1";
    made.failure_domain = internal::DomainId(
        index / std::max<std::size_t>(plan_.engines_per_domain, 1));
    made.slots = plan_.slots;
    made.incarnation = engines_[index].incarnation;
    made.cold_for = engines_[index].published_cold;
    targets.push_back(std::move(made));
  }
  return targets;
}

void hub_fleet::PublishTargets() {
  const auto targets = PublishedTargets();
  const std::uint64_t publication = ++publications_;
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    const auto seen_after = static_cast<std::int64_t>(DrawBelow(
        random_, static_cast<std::uint64_t>(internal::kWatchDelay.count())));
    AfterAt(vm, duration(seen_after), [this, vm, targets, publication] {
      if (vms_[vm]->publication < publication) {
        vms_[vm]->publication = publication;
        Post(vm, forwarding::targets_published{targets});
      }
    });
  }
}

void hub_fleet::SetEvacuated(const std::vector<std::size_t>& domains,
                             duration spread) {
  evacuated_.clear();
  for (const std::size_t each : domains) {
    evacuated_.push_back(internal::DomainId(each));
  }
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    if (vms_[vm]->running) {
      const auto heard_after = duration(static_cast<std::int64_t>(
          DrawBelow(random_, static_cast<std::uint64_t>(spread.count()) + 1)));
      AfterAt(vm, heard_after, [this, vm, domains = evacuated_] {
        Post(vm, forwarding::domains_evacuated{domains});
      });
    }
  }
}

void hub_fleet::Fetch(std::size_t vm, const mesh::view_source& source) {
  const std::size_t from = IndexOf(source.address);
  AfterAt(vm, internal::kFetchDelay,
          [this, vm, from, is_complete = source.reads_evacuations] {
            if (!vms_[from]->running) {
              return;
            }
            auto& self = *vms_[vm];
            if (is_complete || vms_[from]->revision > self.revision) {
              self.is_complete = is_complete;
            }
            self.revision = std::max(self.revision, vms_[from]->revision);
          });
}

}  // namespace acaciaferry
