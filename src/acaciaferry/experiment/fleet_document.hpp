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

/** @return The name in reports: `works` or `trust`. */
[[nodiscard]] std::string_view ToString(deployment_kind kind) noexcept;

/** @return The size and network of the deployment's fleet. */
[[nodiscard]] fleet_parameters MakeFleetParameters(deployment_kind kind);

/**
 * @brief Makes the configuration of all entry VMs of a simulated fleet.
 * @param kind The deployment.
 * @param fleet Its fleet, which may differ in size from
 * `MakeFleetParameters(kind)`.
 * @return The parsed configuration document.
 * @throws std::logic_error When the document is not valid.
 */
[[nodiscard]] deployment MakeDeployment(deployment_kind kind,
                                        const fleet_parameters& fleet);

/** @return The name of the failure domain with this index. */
[[nodiscard]] failure_domain_id FailureDomainName(std::size_t index);
/** @return The name of an entry VM. */
[[nodiscard]] std::string EntryVmName(std::size_t index);
/** @return The name of a target; engine indexes precede service targets. */
[[nodiscard]] std::string TargetName(const fleet_parameters& fleet,
                                     std::size_t index);
/** @return The name of a workspace. */
[[nodiscard]] std::string WorkspaceName(std::size_t index);

}  // namespace acaciaferry
