#include "corpus.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace acaciaferry::load {
namespace internal {

namespace fs = std::filesystem;

constexpr std::size_t kMaxTextBytes = 64 << 20;
constexpr std::array<std::string_view, 9> kTextExtensions{
    ".cpp", ".hpp", ".md", ".txt", ".sh", ".py", ".ini", ".json", ".csv"};

bool IsText(const fs::directory_entry& entry) {
  const std::string extension = entry.path().extension().string();
  return entry.is_regular_file() &&
         std::find(kTextExtensions.begin(), kTextExtensions.end(), extension) !=
             kTextExtensions.end();
}

bool IsSkipped(const fs::directory_entry& entry) {
  const std::string name = entry.path().filename().string();
  return entry.is_directory() &&
         (name.starts_with('.') || name.starts_with("build"));
}

std::vector<fs::path> FindTexts(const std::string& directory) {
  std::vector<fs::path> paths;
  fs::recursive_directory_iterator position(directory);
  for (; position != fs::recursive_directory_iterator(); ++position) {
    if (IsSkipped(*position)) {
      position.disable_recursion_pending();
    } else if (IsText(*position)) {
      paths.push_back(position->path());
    }
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

}  // namespace internal

corpus::corpus(const std::string& directory) {
  for (const auto& path : internal::FindTexts(directory)) {
    if (text_.size() > internal::kMaxTextBytes) {
      break;
    }
    const std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    text_ += content.str();
  }
  if (text_.empty()) {
    throw std::runtime_error("no text files below " + directory);
  }
  for (char& letter : text_) {
    const bool is_plain = (letter >= ' ' && letter <= '~') || letter == '\n';
    letter = is_plain ? letter : ' ';
  }
}

std::string corpus::Cut(std::uint64_t offset, std::uint64_t bytes) const {
  std::string cut;
  cut.reserve(bytes);
  std::uint64_t position = offset % text_.size();
  while (cut.size() < bytes) {
    const std::uint64_t count =
        std::min<std::uint64_t>(bytes - cut.size(), text_.size() - position);
    cut.append(text_, position, count);
    position = 0;
  }
  return cut;
}

}  // namespace acaciaferry::load
