#include <Poco/Exception.h>
#include <tclap/ArgException.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "command.hpp"

namespace ctl {
namespace {

constexpr std::string_view kOptions = "[OPTIONS]";

constexpr std::array kCommands{
    command{"questionnaire", "ask, check, generate, explain or diff answers",
            "VERB ARGUMENTS", "questionnaire check answers.ini",
            RunQuestionnaire},
    command{"status", "what a VM is doing", kOptions,
            "status --address 10.0.0.7:9090 --token-file token", RunStatus},
    command{"targets", "the targets that a VM knows, with their load", kOptions,
            "targets\ntargets --output json", RunTargets},
    command{"peers", "the other VMs that a VM knows", kOptions,
            "peers --address 10.0.0.7:9090", RunPeers},
    command{"workspaces", "the workspaces, their weights and limits", kOptions,
            "workspaces --output json", RunWorkspaces},
    command{"configuration", "the configuration in force", kOptions,
            "configuration --output json", RunConfiguration},
    command{"refusals", "refused and failed requests by reason", kOptions,
            "refusals --address 10.0.0.7:9090", RunRefusals},
    command{"requests", "the requests that have not ended", kOptions,
            "requests --output json", RunRequests},
    command{"explain", "why one request went where it went",
            "REQUEST-ID [OPTIONS]",
            "explain --log entry.log 9c41d07be2a35f68\n"
            "explain 19ae2d1c4f07b3c-12\n"
            "explain 19ae2d1c4f07b3c-12 --output json",
            RunExplain},
    command{"drain", "start a graceful shutdown of a VM", kOptions,
            "drain --address 10.0.0.7:9090", RunDrain},
    command{"watch", "show status and targets every second", kOptions,
            "watch --count 10", RunWatch},
    command{"completion", "print a completion script for bash", "",
            "completion > ~/.local/share/bash-completion/completions/"
            "acaciaferryctl",
            RunCompletion},
};

constexpr std::string_view kOptionsHelp =
    "options:\n"
    "  -a, --address IP:PORT     the daemon's operators' listener "
    "(127.0.0.1:9090)\n"
    "  -t, --token-file FILE     file with the operator's token\n"
    "                            (/etc/acaciaferry/operator.token)\n"
    "  -o, --output text|json    form of the output (text)\n"
    "  -n, --count N             pictures that watch shows; 0 for no end\n"
    "\n"
    "exit codes: 0 done, 1 the daemon cannot be reached or refuses, 2 wrong "
    "usage\n";

void PrintCommandHelp(const command& of) {
  std::cout << "usage: acaciaferryctl " << of.name
            << (of.usage.empty() ? "" : " ") << of.usage << "\n\n"
            << of.summary << "\n\nexamples:\n";
  std::istringstream examples{std::string(of.examples)};
  for (std::string line; std::getline(examples, line);) {
    std::cout << "  acaciaferryctl " << line << '\n';
  }
  if (of.usage.ends_with(kOptions)) {
    std::cout << '\n' << kOptionsHelp;
  }
}

bool AsksForHelp(arguments words) {
  return !words.empty() && (words.front() == "--help" || words.front() == "-h");
}

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
  const auto rest = ctl::arguments(words).subspan(1);
  // The questionnaire explains its verbs itself.
  if (ctl::AsksForHelp(rest) && found->run != ctl::RunQuestionnaire) {
    ctl::PrintCommandHelp(*found);
    return ctl::kOk;
  }
  try {
    return found->run(rest);
  } catch (const Poco::Exception& error) {
    std::cerr << "acaciaferryctl: " << error.displayText() << '\n';
    return ctl::kFailed;
  } catch (const TCLAP::ExitException& exit) {
    // After --help or --version.
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "acaciaferryctl: " << error.error() << '\n';
    return ctl::kUsage;
  }
}
