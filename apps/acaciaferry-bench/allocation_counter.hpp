#pragma once

#include <cstdint>

/** @return Bytes that this thread has allocated and not freed; a block freed
 * by another thread is counted there. */
[[nodiscard]] std::int64_t LiveBytes() noexcept;
