#include "allocation_counter.hpp"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

// One count a thread, so that simulations in parallel do not contend.
thread_local std::int64_t live_bytes = 0;

}  // namespace

std::int64_t LiveBytes() noexcept {
  return live_bytes;
}

void* operator new(std::size_t size) {
  void* const block = std::malloc(size);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  live_bytes += static_cast<std::int64_t>(malloc_usable_size(block));
  return block;
}

void operator delete(void* block) noexcept {
  live_bytes -= static_cast<std::int64_t>(malloc_usable_size(block));
  std::free(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept {
  operator delete(block);
}
