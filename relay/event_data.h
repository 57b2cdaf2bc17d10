#pragma once

#include <string>
#include <string_view>

namespace hawthorn::relay {

/// Appends the data of a complete server-sent event and a line feed to `out`.
/// Several data lines are joined by line feeds; an event without data, such as
/// a comment, adds nothing.
void AppendEventData(std::string_view event, std::string* out);

}  // namespace hawthorn::relay
