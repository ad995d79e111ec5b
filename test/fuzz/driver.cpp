// Runs a fuzz target without libFuzzer, over a corpus and seeded mutations.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "acaciaferry/core/random.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

namespace {

using acaciaferry::DrawBelow;
using acaciaferry::random_engine;

constexpr std::uint64_t kSeed = 7;
constexpr std::uint64_t kMutationsPerSeed = 2'000;
constexpr std::uint64_t kMaxEdits = 6;
constexpr std::size_t kMaxBytes = 1 << 16;

std::vector<std::string> ReadCorpus(const std::string& directory) {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    paths.push_back(entry.path());
  }
  // The order of a directory differs between file systems.
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> corpus;
  for (const auto& path : paths) {
    std::ifstream file(path, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(file),
                        std::istreambuf_iterator<char>());
  }
  return corpus;
}

char DrawByte(random_engine& random) {
  return static_cast<char>(DrawBelow(random, 256));
}

void Edit(std::string& input,
          const std::vector<std::string>& corpus,
          random_engine& random) {
  const std::size_t at = DrawBelow(random, input.size() + 1);
  const std::size_t length = DrawBelow(random, 16) + 1;
  switch (DrawBelow(random, 6)) {
    case 0:
      if (at < input.size()) {
        input[at] ^= static_cast<char>(1U << DrawBelow(random, 8));
      }
      break;
    case 1:
      if (at < input.size()) {
        input[at] = DrawByte(random);
      }
      break;
    case 2:
      input.insert(at, 1, DrawByte(random));
      break;
    case 3:
      input.erase(at, length);
      break;
    case 4:
      input.insert(at,
                   input.substr(DrawBelow(random, input.size() + 1), length));
      break;
    default: {
      const std::string& other = corpus[DrawBelow(random, corpus.size())];
      input.resize(at);
      input += other.substr(DrawBelow(random, other.size() + 1));
      break;
    }
  }
  input.resize(std::min(input.size(), kMaxBytes));
}

void RunOne(const std::string& input) {
  // A copy of its own size lets the address sanitizer see each overrun.
  const std::vector<std::uint8_t> bytes(input.begin(), input.end());
  LLVMFuzzerTestOneInput(bytes.data(), bytes.size());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " CORPUS-DIRECTORY\n";
    return 2;
  }
  const std::vector<std::string> corpus = ReadCorpus(argv[1]);
  if (corpus.empty()) {
    std::cerr << argv[1] << ": the corpus is empty\n";
    return 2;
  }
  random_engine random(kSeed);
  std::uint64_t runs = 0;
  RunOne("");
  for (const std::string& seed : corpus) {
    RunOne(seed);
    for (std::uint64_t i = 0; i < kMutationsPerSeed; ++i) {
      std::string input = seed;
      for (std::uint64_t edits = DrawBelow(random, kMaxEdits) + 1; edits > 0;
           --edits) {
        Edit(input, corpus, random);
      }
      RunOne(input);
      ++runs;
    }
  }
  std::cout << corpus.size() << " inputs and " << runs << " mutations\n";
  return 0;
}
