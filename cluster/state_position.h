#pragma once

#include "schema/generated/deployment.pb.h"

namespace hawthorn::cluster {

/// Whether `a` comes before `b` in a log. The index alone does not tell: a log
/// that begins again has lower indexes and higher terms.
inline bool Precedes(const schema::StatePosition& a,
                     const schema::StatePosition& b) {
  return a.term() != b.term() ? a.term() < b.term() : a.index() < b.index();
}

}  // namespace hawthorn::cluster
