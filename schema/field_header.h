#pragma once

#include <google/protobuf/io/coded_stream.h>

#include <array>
#include <cstdint>
#include <string>

namespace hawthorn::schema {

/// Greatest size of what AppendFieldHeader appends, in bytes.
inline constexpr size_t kMaxFieldHeaderBytes = 10;

/// Appends the header of a field of `size` bytes that follow (a message, text
/// or bytes) to a serialized message, so that these need not be copied into
/// one.
inline void AppendFieldHeader(int field_number, size_t size, std::string* out) {
  constexpr uint32_t kLengthDelimited = 2;
  using google::protobuf::io::CodedOutputStream;
  std::array<uint8_t, kMaxFieldHeaderBytes> header{};
  uint8_t* end = CodedOutputStream::WriteVarint32ToArray(
      (static_cast<uint32_t>(field_number) << 3U) | kLengthDelimited,
      header.data());
  end =
      CodedOutputStream::WriteVarint32ToArray(static_cast<uint32_t>(size), end);
  out->append(header.begin(), header.begin() + (end - header.data()));
}

}  // namespace hawthorn::schema
