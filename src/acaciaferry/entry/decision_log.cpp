#include "acaciaferry/entry/decision_log.hpp"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>

namespace acaciaferry::entry {
namespace internal {

constexpr std::uint32_t kMaxLinesPerSecond = 60;
constexpr std::uint32_t kMaxServedLinesPerSecond = 30;
constexpr std::size_t kMaxLineBytes = 1'024;

std::atomic<std::uint64_t>& LinesNotWrittenCounter() {
  static std::atomic<std::uint64_t> count{0};
  return count;
}

// log4cplus' own appenders block while the pipe is full.
class pipe_appender final : public log4cplus::Appender {
 public:
  pipe_appender() {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
      fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }
  ~pipe_appender() override { destructorImpl(); }
  pipe_appender(const pipe_appender&) = delete;
  pipe_appender& operator=(const pipe_appender&) = delete;

  void close() override { closed = true; }

 private:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::string line = event.getMessage();
    line.resize(std::min(line.size(), kMaxLineBytes));
    line += '\n';
    const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
    if (written != static_cast<ssize_t>(line.size())) {
      ++LinesNotWrittenCounter();
    }
  }
};

// Served requests get a lower limit, in favour of the other decisions.
std::uint32_t MaxLinesPerSecond(forwarding::decision_kind kind) {
  using forwarding::decision_kind;
  return kind == decision_kind::kSent || kind == decision_kind::kAnswered
             ? kMaxServedLinesPerSecond
             : kMaxLinesPerSecond;
}

void AppendField(std::string& line,
                 std::string_view key,
                 const std::string& value) {
  line += ' ';
  line += key;
  line += '=';
  if (value.find_first_of(" \"=") == std::string::npos) {
    line += value;
    return;
  }
  line += '"';
  for (const char character : value) {
    line += character == '"' || character == '\n' ? '\'' : character;
  }
  line += '"';
}

}  // namespace internal

void ConfigureDecisionLog(std::string_view level) {
  std::string upper(level);
  std::transform(upper.begin(), upper.end(), upper.begin(), [](char character) {
    return static_cast<char>(
        std::toupper(static_cast<unsigned char>(character)));
  });
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(log4cplus::SharedAppenderPtr(new internal::pipe_appender));
  root.setLogLevel(log4cplus::getLogLevelManager().fromString(upper));
}

std::uint64_t LinesNotWritten() noexcept {
  return internal::LinesNotWrittenCounter();
}

decision_log::decision_log(std::string vm)
    : vm_(std::move(vm)), logger_(log4cplus::Logger::getInstance("decision")) {}

void decision_log::WriteDecision(const forwarding::record_decision& decision,
                                 time_point now) {
  line_budget& budget = budgets_[static_cast<std::size_t>(decision.kind)];
  ++budget.total;
  if (now - budget.window_start >= std::chrono::seconds(1)) {
    budget.window_start = now;
    budget.lines = 0;
  }
  if (budget.lines >= internal::MaxLinesPerSecond(decision.kind)) {
    ++budget.suppressed;
    ++suppressed_lines_;
    return;
  }
  ++budget.lines;
  std::string line = "event=";
  line += ToString(decision.kind);
  internal::AppendField(line, "vm", vm_);
  internal::AppendField(line, "id", decision.subject);
  for (const auto& [key, value] : decision.inputs) {
    internal::AppendField(line, key, value);
  }
  if (budget.suppressed > 0) {
    internal::AppendField(line, "left_out", std::to_string(budget.suppressed));
    budget.suppressed = 0;
  }
  LOG4CPLUS_INFO(logger_, line);
}

void decision_log::WriteEvent(std::string_view event,
                              const log_fields& fields) {
  std::string line = "event=";
  line += event;
  internal::AppendField(line, "vm", vm_);
  for (const auto& [key, value] : fields) {
    internal::AppendField(line, key, value);
  }
  LOG4CPLUS_INFO(logger_, line);
}

std::uint64_t decision_log::Count(forwarding::decision_kind kind) const {
  return budgets_[static_cast<std::size_t>(kind)].total;
}

}  // namespace acaciaferry::entry
