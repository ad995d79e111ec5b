#pragma once

namespace acaciaferry::mesh {

class roster;
struct hello;
struct load_news;
struct member;

}  // namespace acaciaferry::mesh
