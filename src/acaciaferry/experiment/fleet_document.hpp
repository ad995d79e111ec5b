#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/experiment/parameters.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

inline constexpr std::string_view kModelPool = "model";
inline constexpr std::string_view kServicePool = "service";

/** The deployments of section 1.1 of the design. */
enum class deployment_kind { kWorks, kTrust };

/** @return `works` or `trust`. */
[[nodiscard]] std::string_view ToString(deployment_kind kind) noexcept;

/** @return The deployment's fleet and network. */
[[nodiscard]] fleet_parameters MakeFleetParameters(deployment_kind kind);

/**
 * @brief Makes the configuration that all entry VMs of a simulated fleet get.
 * @param kind The deployment.
 * @param fleet Its fleet, which may have another size than today's.
 * @return The parsed document.
 * @throws std::logic_error When the document has a fault.
 */
[[nodiscard]] deployment MakeDeployment(deployment_kind kind,
                                        const fleet_parameters& fleet);

/** @return The failure domain of the machine with that index. */
[[nodiscard]] failure_domain_id FailureDomainName(std::size_t index);
/** @return The name of an entry VM. */
[[nodiscard]] std::string EntryVmName(std::size_t index);
/** @return The name of a target; engines come before service targets. */
[[nodiscard]] std::string TargetName(const fleet_parameters& fleet,
                                     std::size_t index);
/** @return The name of a workspace. */
[[nodiscard]] std::string WorkspaceName(std::size_t index);

}  // namespace acaciaferry
