#include "acaciaferry/configuration/difference.hpp"

#include <xxhash.h>

#include <charconv>
#include <unordered_map>
#include <vector>

namespace acaciaferry {
namespace internal {

constexpr std::string_view kSectionStart = "\n[";

// Splits the text at section headings, so that the difference for one changed
// section has about the length of that section.
std::vector<std::string_view> SplitSections(std::string_view text) {
  std::vector<std::string_view> sections;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t found = text.find(kSectionStart, begin);
    const std::size_t end =
        found == std::string_view::npos ? text.size() : found + 1;
    sections.push_back(text.substr(begin, end - begin));
    begin = end;
  }
  return sections;
}

class difference_writer {
 public:
  void Copy(std::size_t offset, std::size_t length) {
    if (copy_length_ > 0 && copy_offset_ + copy_length_ == offset) {
      copy_length_ += length;
      return;
    }
    Flush();
    copy_offset_ = offset;
    copy_length_ = length;
  }

  void Text(std::string_view text) {
    if (copy_length_ > 0) {
      Flush();
    }
    text_.append(text);
  }

  [[nodiscard]] std::string Finish() {
    Flush();
    return std::move(result_);
  }

 private:
  void Flush() {
    if (!text_.empty()) {
      result_.append("t ").append(std::to_string(text_.size()));
      result_.append("\n").append(text_);
      text_.clear();
    }
    if (copy_length_ > 0) {
      result_.append("c ").append(std::to_string(copy_offset_)).append(" ");
      result_.append(std::to_string(copy_length_)).append("\n");
      copy_length_ = 0;
    }
  }

  std::string result_;
  std::string text_;
  std::size_t copy_offset_{};
  std::size_t copy_length_{};
};

// Parses the operations of a difference from front to back.
class difference_reader {
 public:
  explicit difference_reader(std::string_view text) : text_(text) {}

  [[nodiscard]] bool AtEnd() const noexcept { return text_.empty(); }

  [[nodiscard]] bool Consume(std::string_view expected) {
    if (!text_.starts_with(expected)) {
      return false;
    }
    text_.remove_prefix(expected.size());
    return true;
  }

  [[nodiscard]] std::optional<std::size_t> Number(char terminator) {
    std::size_t value{};
    const char* const last = text_.data() + text_.size();
    const auto [end, error] = std::from_chars(text_.data(), last, value);
    if (error != std::errc{} || end == last || *end != terminator) {
      return std::nullopt;
    }
    text_.remove_prefix(static_cast<std::size_t>(end - text_.data()) + 1);
    return value;
  }

  [[nodiscard]] std::optional<std::string_view> Take(std::size_t length) {
    if (length > text_.size()) {
      return std::nullopt;
    }
    const std::string_view taken = text_.substr(0, length);
    text_.remove_prefix(length);
    return taken;
  }

 private:
  std::string_view text_;
};

std::optional<std::string_view> ReadOperation(difference_reader& reader,
                                              std::string_view base) {
  if (reader.Consume("t ")) {
    const auto length = reader.Number('\n');
    return length ? reader.Take(*length) : std::nullopt;
  }
  if (!reader.Consume("c ")) {
    return std::nullopt;
  }
  const auto offset = reader.Number(' ');
  const auto length = offset ? reader.Number('\n') : std::nullopt;
  const bool inside =
      length && *offset <= base.size() && *length <= base.size() - *offset;
  return inside ? std::optional(base.substr(*offset, *length)) : std::nullopt;
}

}  // namespace internal

std::string MakeDifference(std::string_view base, std::string_view next) {
  std::unordered_map<std::string_view, std::size_t> offsets;
  for (const std::string_view section : internal::SplitSections(base)) {
    offsets.emplace(section,
                    static_cast<std::size_t>(section.data() - base.data()));
  }
  internal::difference_writer writer;
  for (const std::string_view section : internal::SplitSections(next)) {
    const auto found = offsets.find(section);
    if (found == offsets.end()) {
      writer.Text(section);
    } else {
      writer.Copy(found->second, section.size());
    }
  }
  return writer.Finish();
}

std::optional<std::string> ApplyDifference(std::string_view base,
                                           std::string_view difference,
                                           std::size_t max_bytes) {
  std::string result;
  internal::difference_reader reader(difference);
  while (!reader.AtEnd()) {
    const auto piece = internal::ReadOperation(reader, base);
    if (!piece || piece->size() > max_bytes - result.size()) {
      return std::nullopt;
    }
    result.append(*piece);
  }
  return result;
}

std::uint64_t DocumentDigest(std::string_view text) noexcept {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace acaciaferry
