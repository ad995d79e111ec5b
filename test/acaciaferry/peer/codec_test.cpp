#include "acaciaferry/peer/codec.hpp"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iterator>
#include <msgpack.hpp>
#include <string>
#include <thread>
#include <vector>

#include <rapidcheck.h>

#include "peer/golden_messages.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr const char* kKey = "golden-key-of-the-tests";

byte_view Bytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

std::string ReadGolden(const std::string& file) {
  std::ifstream in(std::string(ACACIAFERRY_TEST_DIR) + "/golden/peer/" + file,
                   std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Packs a payload with fields of a later version.
std::string PackLaterVersion(std::uint64_t kind) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> out(buffer);
  out.pack_array(7);
  out.pack(2);
  out.pack(kind);
  out.pack("vm1");
  out.pack(5);
  out.pack(9);
  out.pack_map(3);
  out.pack(1);
  out.pack(42);
  out.pack(77);
  out.pack(std::vector<std::string>{"later"});
  out.pack("named");
  out.pack(true);
  out.pack("trailing header");
  return {buffer.data(), buffer.size()};
}

}  // namespace

TEST_GROUP(PeerCodec){};

// Guards against a build that cannot decode messages of a released version.
TEST(PeerCodec, GoldenMessagesOfVersion1Decode) {
  for (const auto& [file, expected] : test::GoldenMessages()) {
    const std::string bytes = ReadGolden(file);
    const decoded_message decoded = VerifyAndDecode(Bytes(bytes), kKey);
    CHECK_TRUE_TEXT(decoded.verdict == peer_verdict::kAccepted, file.c_str());
    CHECK_TRUE_TEXT(decoded.message == expected, file.c_str());
  }
}

// Guards against a decoder of version 1 that rejects fields of later versions.
TEST(PeerCodec, SkipsFieldsOfLaterVersions) {
  const std::string bytes = SignMessage(PackLaterVersion(1), kKey);
  const decoded_message decoded = VerifyAndDecode(Bytes(bytes), kKey);
  CHECK_TRUE(decoded.verdict == peer_verdict::kUnknownFields);
  CHECK_TRUE(decoded.message ==
             (peer_message{{"vm1"}, 5, 9, heartbeat{.revision = 42}}));
}

TEST(PeerCodec, SkipsKindsOfLaterVersions) {
  const std::string bytes = SignMessage(PackLaterVersion(99), kKey);
  CHECK_TRUE(VerifyAndDecode(Bytes(bytes), kKey).verdict ==
             peer_verdict::kUnknownKind);
}

// Guards against a signature that is not HMAC-SHA256 (RFC 4231, case 2).
TEST(PeerCodec, SignatureIsHmacSha256) {
  const std::string sealed =
      SignMessage("what do ya want for nothing?", "Jefe");
  const std::string expected =
      "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843";
  std::string hex;
  for (std::size_t i = 1; i <= kTagBytes; ++i) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x",
                  static_cast<unsigned char>(sealed[i]));
    hex += digits;
  }
  CHECK_EQUAL(expected, hex);
}

// Guards against accepting forged or corrupted messages.
TEST(PeerCodec, RefusesEveryChangedOrTruncatedMessage) {
  CHECK_TRUE(rc::check([] {
    const auto golden = test::GoldenMessages();
    const auto index = *rc::gen::inRange<std::size_t>(0, golden.size());
    std::string bytes = SignMessage(EncodePayload(golden[index].second), kKey);
    const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
    if (*rc::gen::arbitrary<bool>()) {
      bytes[place] =
          static_cast<char>(bytes[place] ^ *rc::gen::inRange<int>(1, 256));
    } else {
      bytes.resize(place);
    }
    const peer_verdict verdict = VerifyAndDecode(Bytes(bytes), kKey).verdict;
    RC_ASSERT(verdict == peer_verdict::kForged ||
              verdict == peer_verdict::kUnknownFormat ||
              verdict == peer_verdict::kMalformed);
  }));
  const std::string other = SignMessage(
      EncodePayload(test::GoldenMessages()[0].second), "another key");
  CHECK_TRUE(VerifyAndDecode(Bytes(other), kKey).verdict ==
             peer_verdict::kForged);
}

// Guards against a decoder that crashes on arbitrary bytes.
TEST(PeerCodec, DecodesAnyPayloadToAVerdict) {
  CHECK_TRUE(rc::check([](const std::vector<std::uint8_t>& noise) {
    const peer_verdict verdict = DecodePayload(noise).verdict;
    RC_ASSERT(verdict == peer_verdict::kMalformed ||
              verdict == peer_verdict::kUnknownKind);
  }));
  CHECK_TRUE(rc::check([] {
    const auto golden = test::GoldenMessages();
    const auto index = *rc::gen::inRange<std::size_t>(0, golden.size());
    std::string payload = EncodePayload(golden[index].second);
    const auto place = *rc::gen::inRange<std::size_t>(0, payload.size());
    payload[place] =
        static_cast<char>(payload[place] ^ *rc::gen::inRange<int>(1, 256));
    // The verdict depends on the changed byte, so any valid one is accepted.
    const auto verdict = DecodePayload(Bytes(payload)).verdict;
    RC_ASSERT(static_cast<std::size_t>(verdict) < kPeerVerdictCount);
  }));
}

// Guards against a crash in POCO's repeated initialization of OpenSSL when two
// threads sign or verify at once. Without the permanent reference in
// ComputeTag(), one of six runs of 50,000 messages per thread crashed.
TEST(PeerCodec, SeveralThreadsSignConcurrently) {
  constexpr int kThreads = 2;
  constexpr int kMessages = 100'000;
  const std::string expected = SignMessage("payload", kKey);
  std::atomic<int> wrong{};
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < kMessages; ++n) {
        wrong += SignMessage("payload", kKey) == expected ? 0 : 1;
      }
    });
  }
  for (std::thread& each : threads) {
    each.join();
  }
  CHECK_EQUAL(0, wrong.load());
}

// Guards against sending or accepting messages over 64 KB.
TEST(PeerCodec, RefusesOversizedMessages) {
  const std::string large(kMaxMessageBytes + 1, '\x01');
  CHECK_TRUE(VerifyAndDecode(Bytes(large), kKey).verdict ==
             peer_verdict::kOversized);
  const peer_message too_large{
      {"vm1"}, 1, 1, configuration_part{.count = 1, .text = large}};
  CHECK_TRUE(EncodePayload(too_large).empty());
  const peer_message largest{
      {"vm1"},
      1,
      1,
      configuration_part{.count = 1, .text = std::string(kMaxPartBytes, 'x')}};
  const std::string payload = EncodePayload(largest);
  CHECK_TRUE(DecodePayload(Bytes(payload)).message == largest);
}

// Guards against accepting a list that is longer than the receiver's limit.
TEST(PeerCodec, RefusesLongLists) {
  heartbeat body;
  body.suspects.resize(kMaxSuspects + 1, {.fingerprint = 1});
  const std::string payload = EncodePayload({{"vm1"}, 1, 1, body});
  CHECK_TRUE(DecodePayload(Bytes(payload)).verdict == peer_verdict::kMalformed);
}
