#pragma once

#include <span>
#include <string>
#include <string_view>

namespace ctl {

/** Exit codes of the tool. */
enum exit_code : int {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  /** The answers or the document have faults. */
  kFaults = 3,
};

/**
 * @brief Arguments after the name of a command.
 */
using arguments = std::span<const std::string>;

/**
 * @brief A command of the tool.
 */
struct command {
  std::string_view name;
  std::string_view summary;
  /** What follows the name on the command line. */
  std::string_view usage;
  /** One a line, without the program's name. */
  std::string_view examples;
  int (*run)(arguments);
};

/**
 * @brief Lists the commands in the order of the help text.
 * @return A static table.
 */
[[nodiscard]] std::span<const command> Commands() noexcept;

/** @brief Works on answers: ask, check, generate, explain and diff. */
int RunQuestionnaire(arguments words);

/** @brief Show what a daemon's administration API tells. */
int RunStatus(arguments words);
int RunTargets(arguments words);
int RunPeers(arguments words);
int RunWorkspaces(arguments words);
int RunConfiguration(arguments words);
int RunRefusals(arguments words);
int RunRequests(arguments words);

/** @brief Tells why one request went where it went. */
int RunExplain(arguments words);

/** @brief Starts a graceful shutdown of a daemon. */
int RunDrain(arguments words);

/** @brief Prints a completion script for bash. */
int RunCompletion(arguments words);

/** @brief Shows status and targets again and again. */
int RunWatch(arguments words);

}  // namespace ctl
