#include <Poco/Exception.h>
#include <tclap/ArgException.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <string>
#include <vector>

#include "command.hpp"

namespace ctl {
namespace {

constexpr std::array kCommands{
    command{"questionnaire", "ask, check, generate, explain or diff answers",
            RunQuestionnaire},
    command{"status", "what a VM is doing", RunStatus},
    command{"targets", "the targets that a VM knows, with their load",
            RunTargets},
    command{"peers", "the other VMs that a VM knows", RunPeers},
    command{"workspaces", "the workspaces, their weights and limits",
            RunWorkspaces},
    command{"configuration", "the configuration in force", RunConfiguration},
    command{"refusals", "refused and failed requests by reason", RunRefusals},
    command{"requests", "the requests that have not ended", RunRequests},
    command{"explain", "why one request went where it went", RunExplain},
    command{"drain", "start a graceful shutdown of a VM", RunDrain},
    command{"watch", "show status and targets every second", RunWatch},
};

void PrintHelp(std::ostream& out) {
  out << "usage: acaciaferryctl COMMAND [ARGUMENTS]\n\n";
  for (const command& each : kCommands) {
    out << "  " << each.name
        << std::string(16 - std::min<std::size_t>(15, each.name.size()), ' ')
        << each.summary << '\n';
  }
  out << "\nexamples:\n"
         "  acaciaferryctl status --address 10.0.0.7:9090 --token-file token\n"
         "  acaciaferryctl targets --output json\n";
  out << "\n`acaciaferryctl COMMAND --help` explains one command.\n";
}

}  // namespace

std::span<const command> Commands() noexcept {
  return kCommands;
}

}  // namespace ctl

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (words.empty() || words.front() == "--help" || words.front() == "help") {
    ctl::PrintHelp(words.empty() ? std::cerr : std::cout);
    return words.empty() ? ctl::kUsage : ctl::kOk;
  }
  if (words.front() == "--version") {
    std::cout << "acaciaferryctl 0.1.0\n";
    return ctl::kOk;
  }
  const auto commands = ctl::Commands();
  const auto found = std::find_if(commands.begin(), commands.end(),
                                  [&words](const ctl::command& each) {
                                    return each.name == words.front();
                                  });
  if (found == commands.end()) {
    std::cerr << "acaciaferryctl: unknown command \"" << words.front()
              << "\"\n";
    ctl::PrintHelp(std::cerr);
    return ctl::kUsage;
  }
  try {
    return found->run(ctl::arguments(words).subspan(1));
  } catch (const Poco::Exception& error) {
    std::cerr << "acaciaferryctl: " << error.displayText() << '\n';
    return ctl::kFailed;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "acaciaferryctl: " << error.error() << '\n';
    return ctl::kUsage;
  }
}
