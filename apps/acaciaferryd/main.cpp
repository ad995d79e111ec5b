#include <Poco/Exception.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <vector>

#include "acaciaferry/entry/decision_log.hpp"
#include "acaciaferry/entry/entry_daemon.hpp"
#include "acaciaferry/entry/entry_settings.hpp"
#include "acaciaferry/runtime/daemon.hpp"
#include "acaciaferry/settings/daemon_settings.hpp"
#include "platform_dialect.hpp"

namespace {

constexpr int kExitStopped = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;
constexpr std::chrono::milliseconds kPollInterval{100};

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void ConfigureLogs(const std::string& level) {
  log4cplus::BasicConfigurator::doConfigure(
      log4cplus::Logger::getDefaultHierarchy(), true);
  std::string upper = level;
  for (char& letter : upper) {
    letter =
        static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  }
  log4cplus::Logger::getRoot().setLogLevel(
      log4cplus::getLogLevelManager().fromString(upper));
}

// The signals are blocked in every thread and collected here.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void RunUntilDrained(acaciaferry::daemon& daemon, const sigset_t& signals) {
  const timespec interval{0, std::chrono::nanoseconds(kPollInterval).count()};
  while (!daemon.IsDrained()) {
    const int signal = sigtimedwait(&signals, nullptr, &interval);
    if (signal == SIGTERM || signal == SIGINT) {
      daemon.Drain();
    }
  }
}

bool HasFaults(const std::string& path,
               const std::vector<acaciaferry::setting_fault>& faults) {
  for (const acaciaferry::setting_fault& fault : faults) {
    std::cerr << path << ": " << ToString(fault) << '\n';
  }
  return !faults.empty();
}

// Forwards calls by published routes, on one thread.
int RunEntry(const std::string& path, const std::string& text) {
  std::vector<acaciaferry::setting_fault> faults;
  auto settings = acaciaferry::entry::ParseEntrySettings(text, faults);
  if (HasFaults(path, faults)) {
    return kExitBadSettings;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const log4cplus::Initializer logs;
  acaciaferry::entry::ConfigureDecisionLog(settings.log_level);
  acaciaferry::entry::entry_daemon daemon(
      std::move(settings), path, acaciaferry::platform_adapter::MakeDialect());
  if (const auto error = daemon.Listen()) {
    std::cerr << "acaciaferryd: " << *error << '\n';
    return kExitFailed;
  }
  daemon.Run();
  return kExitStopped;
}

}  // namespace

int main(int argc, char** argv) {
  std::string config_path;
  try {
    TCLAP::CmdLine command("Routes prompts and service calls to targets.", ' ',
                           "0.1.0");
    TCLAP::ValueArg<std::string> config("c", "config", "Settings file (INI).",
                                        true, "", "FILE", command);
    command.parse(argc, argv);
    config_path = config.getValue();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << '\n';
    return kExitBadSettings;
  }
  const std::string text = ReadFile(config_path);
  if (acaciaferry::entry::IsEntrySettings(text)) {
    return RunEntry(config_path, text);
  }
  std::vector<acaciaferry::setting_fault> faults;
  auto settings = acaciaferry::ParseDaemonSettings(text, faults);
  if (HasFaults(config_path, faults)) {
    return kExitBadSettings;
  }
  const log4cplus::Initializer logs;
  ConfigureLogs(settings.log_level);
  const sigset_t signals = BlockSignals();
  try {
    acaciaferry::daemon daemon(std::move(settings));
    RunUntilDrained(daemon, signals);
  } catch (const Poco::Exception& error) {
    std::cerr << "acaciaferryd: " << error.displayText() << '\n';
    return kExitFailed;
  }
  return kExitStopped;
}
