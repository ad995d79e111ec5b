#include "acaciaferry/questionnaire/question.hpp"

#include <array>

namespace acaciaferry {
namespace internal {

using enum answer_form;

constexpr std::array kQuestions{
    question{"team", "name", "What is the deployment called?", "", kText, 0, 0,
             "works", ""},
    question{"team", "entry_vms", "How many entry VMs run the service?", "VMs",
             kNumber, 1, 10'000, "7", ""},
    question{"team", "failure_domains",
             "Over how many failure domains are they spread?",
             "failure domains", kNumber, 1, 1'000, "3", ""},
    question{"team", "weight_store_reads_per_second",
             "How many reads a second may the whole deployment send to the "
             "weight store?",
             "reads/s", kDecimal, 0, 1e6, "6", ""},

    question{"priorities", "short_requests",
             "How much does it matter that short requests are not slowed down "
             "while long ones run?",
             "0 (not at all) to 10", kDecimal, 0, 10, "3", ""},
    question{"priorities", "long_requests",
             "How much does it matter that the answers to long prompts start "
             "soon?",
             "0 (not at all) to 10", kDecimal, 0, 10, "1", ""},

    question{"model", "engines", "How many engines serve this model?",
             "engines", kNumber, 1, 100'000, "15", ""},
    question{"model", "memory_tokens",
             "How many tokens of prompt and answer fit into one engine's "
             "memory?",
             "tokens", kNumber, 1'024, 100'000'000, "400000", ""},
    question{"model", "prefill_tokens_per_second",
             "How many prompt tokens does one engine read in a second?",
             "tokens/s", kNumber, 1, 10'000'000, "40000", ""},
    question{"model", "answer_tokens_per_second",
             "How many answer tokens does one engine write in a second, over "
             "all the requests it runs at once?",
             "tokens/s", kNumber, 1, 10'000'000, "1500", ""},
    question{"model", "refuses_old_orders",
             "Do its engines refuse an order with an old fencing number?", "",
             kYesNo, 0, 0, "yes", ""},

    question{"model", "version", "Which version of the model is served?", "",
             kText, 0, 0, "v1", ""},
    question{"model", "adapters",
             "Which adapters are loaded beside it? Names separated by commas, "
             "- for none.",
             "", kText, 0, 0, "audit,letters", "-"},

    question{"service", "targets", "How many targets serve this service?",
             "targets", kNumber, 1, 100'000, "3", ""},
    question{"service", "deduplicates",
             "Do its targets run a call with a repeated Idempotency-Key only "
             "once?",
             "", kYesNo, 0, 0, "no", ""},

    question{"workload", "runs_on",
             "Which model or service do its requests go to?", "", kText, 0, 0,
             "batch-model", ""},
    question{"workload", "longest_prompt_tokens",
             "How long is its longest prompt? 0 for a service.", "tokens",
             kNumber, 0, 2'000'000, "32768", "0"},
    question{"workload", "typical_prompt_tokens",
             "How long is its typical prompt? 0 for a service.", "tokens",
             kNumber, 0, 2'000'000, "3000", "0"},
    question{"workload", "longest_answer_tokens",
             "How long is its longest answer? 0 for a service.", "tokens",
             kNumber, 0, 2'000'000, "512", "0"},
    question{"workload", "method",
             "Which HTTP method do its calls use? * for any.", "", kText, 0, 0,
             "POST", "*"},
    question{"workload", "path",
             "With what does the path of its calls begin? Empty for a model.",
             "", kText, 0, 0, "/vat-release", ""},
    question{"workload", "requests_per_minute",
             "How many requests a minute are there at the peak?", "requests",
             kDecimal, 0, 1e6, "120", ""},
    question{"workload", "answer_within_seconds",
             "Within how many seconds must a request be answered?", "s",
             kDecimal, 0.1, 3'600, "30", ""},
    question{"workload", "safe_to_repeat",
             "May a request be run a second time without harm?", "", kYesNo, 0,
             0, "yes", ""},
    question{"workload", "harm_if_late", "What does a late answer cost?", "",
             kHarm, 0, 0, "costly", ""},
    question{"workload", "harm_if_lost", "What does a lost request cost?", "",
             kHarm, 0, 0, "inconvenient", ""},
    question{"workload", "harm_if_repeated",
             "What does a request that is run twice cost?", "", kHarm, 0, 0,
             "none", ""},

    question{"workspace", "token_digest",
             "What is the SHA-256 of its bearer token, in hexadecimal?", "",
             kText, 0, 0,
             "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
             ""},
    question{"workspace", "size",
             "Is it a small or a large part of all requests?", "", kSize, 0, 0,
             "small", ""},
    question{"workspace", "limit_tokens_per_second",
             "How many tokens a second may it use over the whole deployment? 0 "
             "for no limit.",
             "tokens/s", kDecimal, 0, 1e9, "0", "0"},
};

}  // namespace internal

std::span<const question> Questions() noexcept {
  return internal::kQuestions;
}

bool IsRepeated(std::string_view section) noexcept {
  return section == "model" || section == "service" || section == "workload" ||
         section == "workspace";
}

std::string_view FormDescription(answer_form form) noexcept {
  switch (form) {
    case answer_form::kText:
      return "a text";
    case answer_form::kNumber:
      return "a whole number";
    case answer_form::kDecimal:
      return "a number";
    case answer_form::kYesNo:
      return "yes or no";
    case answer_form::kHarm:
      return "none, inconvenient, costly or severe";
    case answer_form::kSize:
      return "small or large";
  }
  return "";
}

}  // namespace acaciaferry
