#include "acaciaferry/mesh/news_outbox.hpp"

#include <algorithm>
#include <utility>

namespace acaciaferry::mesh {
namespace internal {

template <typename Item>
void Append(std::vector<Item>& to, const std::vector<Item>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

bool IsEmpty(const load_update& news) {
  return news.jobs.empty() && news.ended.empty() && news.distrusted.empty() &&
         news.leaving.empty() && news.active.empty();
}

}  // namespace internal

bool news_outbox::Add(const load_update& news) {
  const bool was_empty = internal::IsEmpty(collected_);
  internal::Append(collected_.jobs, news.jobs);
  internal::Append(collected_.ended, news.ended);
  internal::Append(collected_.distrusted, news.distrusted);
  internal::Append(collected_.leaving, news.leaving);
  internal::Append(collected_.active, news.active);
  return was_empty && !internal::IsEmpty(collected_);
}

load_update news_outbox::Take() {
  load_update taken = std::exchange(collected_, {});
  // A dispatch that has ended meanwhile needn't be told at all.
  const auto has_ended = [&](const forwarding::job& each) {
    return std::find(taken.ended.begin(), taken.ended.end(), each.key) !=
           taken.ended.end();
  };
  std::erase_if(taken.jobs, has_ended);
  return taken;
}

}  // namespace acaciaferry::mesh
