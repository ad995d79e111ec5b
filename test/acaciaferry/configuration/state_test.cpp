#include "acaciaferry/configuration/state.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "acaciaferry/configuration/difference.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

const time_point kStart{std::chrono::hours(1)};

document_text Text(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

configuration_checked Checked(std::uint64_t revision,
                              bool valid,
                              document_text text) {
  configuration_checked result{revision, std::move(text), {}, {}};
  result.config =
      std::make_shared<const deployment>(deployment{.revision = revision});
  if (!valid) {
    result.faults.push_back({"policy", "entry_vms", "0", "1 to 1000"});
  }
  return result;
}

// Accepts a document as if the service had sent it and the checker passed it.
void Accept(configuration_state& state,
            std::uint64_t revision,
            std::string text) {
  configuration_effects out;
  const document_text document = Text(std::move(text));
  OnConfigurationRead(state, {revision, document}, out);
  CHECK_TRUE(OnConfigurationChecked(state, Checked(revision, true, document),
                                    out) != nullptr);
}

// Delivers all parts that one state answers a request with to another state.
std::vector<check_configuration> Transfer(configuration_state& from,
                                          configuration_state& to,
                                          std::uint64_t after) {
  configuration_effects sent;
  OnConfigurationRequest(from, {after}, "to:1", kStart, sent);
  configuration_effects received;
  for (const send_to_peers& each : sent.messages) {
    OnConfigurationPart(to, {"from"}, std::get<configuration_part>(each.body),
                        received);
  }
  return received.checks;
}

}  // namespace

TEST_GROUP(Configuration){};

// Guards against a revision that decreases, in any order of valid and invalid
// documents.
TEST(Configuration, RevisionNeverDecreases) {
  CHECK_TRUE(
      rc::check([](const std::vector<std::pair<std::uint8_t, bool>>& checks) {
        configuration_state state;
        std::uint64_t highest_valid = 0;
        for (const auto& [revision, valid] : checks) {
          configuration_effects out;
          const auto config = OnConfigurationChecked(
              state, Checked(revision, valid, Text("x")), out);
          const bool expected = valid && revision > highest_valid;
          RC_ASSERT((config != nullptr) == expected);
          highest_valid = expected ? revision : highest_valid;
          RC_ASSERT(state.revision == highest_valid);
          RC_ASSERT(state.rejected_revisions.size() <= kMaxRejectedRevisions);
        }
      }));
}

// Guards against requesting a rejected document again every second, and against
// a rejected revision that blocks a lower valid one.
TEST(Configuration, RejectedRevisionIsNotRequestedAgain) {
  configuration_state state;
  Accept(state, 3, "three");
  configuration_effects out;
  OnConfigurationRead(state, {9, Text("bad")}, out);
  CHECK_TRUE(OnConfigurationChecked(state, Checked(9, false, Text("bad")),
                                    out) == nullptr);
  CHECK_EQUAL(3U, state.revision);
  CHECK_EQUAL(9U, HighestKnownRevision(state));
  configuration_effects next;
  OnPeerRevision(state, 9, "a:1", kStart, next);
  CHECK_TRUE(next.messages.empty());
  OnPeerRevision(state, 8, "a:1", kStart, next);
  CHECK_EQUAL(1U, next.messages.size());
}

// Guards against a wrong document when parts are lost, repeated or out of
// order.
TEST(Configuration, PartsInAnyOrderGiveTheDocument) {
  CHECK_TRUE(rc::check([] {
    configuration_state from;
    const auto size = *rc::gen::inRange<std::size_t>(1, 5 * kMaxPartBytes);
    std::string text(size, ' ');
    for (std::size_t i = 0; i < size; ++i) {
      text[i] = static_cast<char>('a' + i * 31 / kMaxPartBytes % 26);
    }
    Accept(from, 2, text);
    configuration_effects sent;
    OnConfigurationRequest(from, {0}, "to:1", kStart, sent);
    const auto keys = *rc::gen::container<std::vector<std::uint32_t>>(
        20, rc::gen::arbitrary<std::uint32_t>());
    configuration_state to;
    configuration_effects received;
    for (const std::uint32_t key : keys) {
      OnConfigurationPart(to, {"from"},
                          std::get<configuration_part>(
                              sent.messages[key % sent.messages.size()].body),
                          received);
    }
    for (const send_to_peers& each : sent.messages) {
      OnConfigurationPart(to, {"from"}, std::get<configuration_part>(each.body),
                          received);
    }
    RC_ASSERT(received.checks.size() == 1U);
    RC_ASSERT(*received.checks[0].text == text);
  }));
}

// Guards against applying a difference to the wrong base.
TEST(Configuration, DifferenceIsUsedOnlyOnItsBase) {
  const std::string first = "[a]\nx = 1\n[b]\ny = 1\n";
  const std::string second = "[a]\nx = 1\n[b]\ny = 2\n";
  configuration_state from;
  Accept(from, 1, first);
  Accept(from, 2, second);
  configuration_state follower;
  Accept(follower, 1, first);
  auto checks = Transfer(from, follower, 1);
  CHECK_EQUAL(1U, checks.size());
  CHECK_EQUAL(second, *checks[0].text);

  configuration_state other;
  Accept(other, 1, "[a]\nx = 7\n[b]\ny = 1\n");
  CHECK_TRUE(Transfer(from, other, 1).empty());
  configuration_effects next;
  OnPeerRevision(other, 2, "from:1", kStart, next);
  CHECK_EQUAL(1U, next.messages.size());
  CHECK_EQUAL(0U, std::get<configuration_request>(next.messages[0].body).after);
  checks = Transfer(from, other, 0);
  CHECK_EQUAL(1U, checks.size());
  CHECK_EQUAL(second, *checks[0].text);
}

// Guards against queueing more than the limit when a whole failure domain
// requests the document at once.
TEST(Configuration, ServedBytesAreBounded) {
  configuration_state state;
  Accept(state, 1, std::string(kMaxDocumentBytes, 'x'));
  configuration_effects out;
  for (int i = 0; i < 30; ++i) {
    OnConfigurationRequest(state, {0}, "to:1", kStart, out);
  }
  CHECK_EQUAL(4 * kMaxDocumentParts, out.messages.size());
  out.messages.clear();
  OnConfigurationRequest(state, {0}, "to:1", kStart + std::chrono::seconds(1),
                         out);
  CHECK_EQUAL(kMaxDocumentParts, out.messages.size());
}
