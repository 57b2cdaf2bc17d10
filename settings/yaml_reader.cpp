#include "settings/yaml_reader.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <exception>
#include <new>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "settings/field_rule.h"
#include "settings/scalar.h"

namespace hawthorn::settings {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// Maximum length of an input text that a finding quotes.
constexpr size_t kMaxQuotedBytes = 64;

std::string Truncate(const std::string& text) {
  return text.size() <= kMaxQuotedBytes
             ? text
             : text.substr(0, kMaxQuotedBytes) + "...";
}

size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  for (size_t j = 0; j < row.size(); ++j) {
    row[j] = j;
  }
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t change = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({change, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

const FieldDescriptor* FieldOf(const Descriptor& type, const std::string& key) {
  for (int i = 0; i < type.field_count(); ++i) {
    if (KeyOf(*type.field(i)) == key) {
      return type.field(i);
    }
  }
  return nullptr;
}

// Known key that is most similar to `key`; empty if none is similar.
std::string NearestKey(const Descriptor& type, const std::string& key) {
  if (key.size() > kMaxQuotedBytes) {
    return "";
  }
  std::string nearest;
  size_t least = std::max<size_t>(2, key.size() / 3) + 1;
  for (int i = 0; i < type.field_count(); ++i) {
    const std::string known = KeyOf(*type.field(i));
    const size_t distance = EditDistance(key, known);
    if (distance < least) {
      least = distance;
      nearest = known;
    }
  }
  return nearest;
}

std::string KnownKeys(const Descriptor& type) {
  std::vector<std::string> keys;
  keys.reserve(static_cast<size_t>(type.field_count()));
  for (int i = 0; i < type.field_count(); ++i) {
    keys.push_back(KeyOf(*type.field(i)));
  }
  return absl::StrJoin(keys, ", ");
}

std::string PathOf(const std::string& parent, const std::string& key) {
  return parent.empty() ? key : absl::StrCat(parent, ".", key);
}

// Reads nodes by following the schema. The depth of the schema bounds the
// recursion, even if an anchor makes a node contain itself.
class YamlReader {
 public:
  YamlReader(std::string file, YamlDocument* document)
      : file_(std::move(file)), document_(*document) {}

  core::FilePosition PositionOf(const YAML::Mark& mark) const {
    if (mark.is_null()) {
      return core::FilePosition{file_, 0, 0};
    }
    return core::FilePosition{file_, mark.line + 1, mark.column + 1};
  }

  void ReadGroup(const YAML::Node& node, const std::string& path,
                 Message* message) {
    SetDefaults(message);
    document_.positions.Set(path, PositionOf(node.Mark()));
    if (!node.IsMap()) {
      AddFinding(node, path, "not a group of keys",
                 absl::StrCat("keys ", KnownKeys(*message->GetDescriptor())));
      return;
    }
    std::set<std::string> seen;
    for (const auto& entry : node) {
      ReadKey(entry.first, entry.second, path, &seen, message);
    }
  }

 private:
  void AddFinding(const YAML::Node& node, const std::string& path,
                  std::string message, std::string allowed) {
    document_.faulty_paths.insert(path);
    document_.findings.Add(PositionOf(node.Mark()), std::move(message),
                           std::move(allowed));
  }

  void ReadKey(const YAML::Node& key_node, const YAML::Node& value,
               const std::string& path, std::set<std::string>* seen,
               Message* message) {
    const Descriptor& type = *message->GetDescriptor();
    if (!key_node.IsScalar()) {
      AddFinding(key_node, PathOf(path, "?"), "the key is not a text",
                 absl::StrCat("keys ", KnownKeys(type)));
      return;
    }
    const std::string& key = key_node.Scalar();
    const FieldDescriptor* field = FieldOf(type, key);
    if (field == nullptr) {
      ReportUnknown(key_node, PathOf(path, key), type);
      return;
    }
    const std::string field_path = PathOf(path, key);
    if (!seen->insert(key).second) {
      // The first value is used, and is still checked under the path of the
      // key.
      AddFinding(key_node, field_path + "#again",
                 absl::StrCat("key '", key, "' stands twice"), "each key once");
      return;
    }
    document_.positions.Set(field_path, PositionOf(key_node.Mark()));
    ReadField(value, field_path, *field, message);
  }

  void ReportUnknown(const YAML::Node& key_node, const std::string& path,
                     const Descriptor& type) {
    const std::string& key = key_node.Scalar();
    const std::string nearest = NearestKey(type, key);
    std::string text = absl::StrCat("unknown key '", Truncate(key), "'");
    if (!nearest.empty()) {
      absl::StrAppend(&text, "; did you mean '", nearest, "'?");
    }
    AddFinding(key_node, path, std::move(text), KnownKeys(type));
  }

  void ReadField(const YAML::Node& node, const std::string& path,
                 const FieldDescriptor& field, Message* message) {
    if (!node.IsDefined() || node.IsNull()) {
      AddFinding(node, path,
                 absl::StrCat("key '", KeyOf(field), "' has no value"),
                 AllowedOf(field));
      return;
    }
    if (field.is_repeated()) {
      ReadList(node, path, field, message);
      return;
    }
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      ReadGroup(node, path,
                message->GetReflection()->MutableMessage(message, &field));
      return;
    }
    ReadScalar(node, path, field, message);
  }

  void ReadList(const YAML::Node& node, const std::string& path,
                const FieldDescriptor& field, Message* message) {
    if (!node.IsSequence()) {
      AddFinding(node, path, absl::StrCat("'", KeyOf(field), "' is not a list"),
                 AllowedOf(field));
      return;
    }
    int index = 0;
    for (const auto& element : node) {
      const std::string element_path = absl::StrCat(path, "[", index, "]");
      ++index;
      if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        ReadGroup(element, element_path,
                  message->GetReflection()->AddMessage(message, &field));
        continue;
      }
      document_.positions.Set(element_path, PositionOf(element.Mark()));
      ReadScalar(element, element_path, field, message);
    }
  }

  void ReadScalar(const YAML::Node& node, const std::string& path,
                  const FieldDescriptor& field, Message* message) {
    std::optional<std::string> problem;
    if (node.IsScalar()) {
      document_.positions.Set(path, PositionOf(node.Mark()));
      problem = StoreScalar(node.Scalar(), field, message);
    } else {
      problem = "the value is not a single one";
    }
    if (!problem.has_value()) {
      return;
    }
    AddFinding(node, path,
               absl::StrCat("'", KeyOf(field), "': ", Truncate(*problem)),
               AllowedOf(field));
    if (field.is_repeated()) {
      // An empty element keeps the indices of paths the same as in the file.
      StoreScalar("", field, message);
    }
  }

  std::string file_;
  YamlDocument& document_;
};

/// Counts the documents of a text and ignores what they hold.
class DocumentCounter final : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark& mark) override {
    start_ = mark;
    ++count_;
  }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark&, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark&, const std::string&, YAML::anchor_t,
                const std::string&) override {}
  void OnSequenceStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark&, const std::string&, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}

  int count() const { return count_; }
  /// Start of the latest document.
  const YAML::Mark& start() const { return start_; }

 private:
  int count_ = 0;
  YAML::Mark start_;
};

// Reads up to two documents. YAML::LoadAll is not used, since it reads
// documents without end where a comma cannot be part of one.
DocumentCounter CountDocuments(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  DocumentCounter counter;
  while (counter.count() < 2 && parser.HandleNextDocument(counter)) {
  }
  return counter;
}

// Adds a finding for an error that the parser threw.
void AddParserFinding(const YAML::Exception& error, const YamlReader& reader,
                      YamlDocument* document) {
  document->faulty_paths.insert("");
  document->findings.Add(reader.PositionOf(error.mark),
                         absl::StrCat("not YAML: ", error.msg),
                         "one YAML document with a group of keys");
}

}  // namespace

void PositionMap::Set(const std::string& path, core::FilePosition position) {
  positions_.insert_or_assign(path, std::move(position));
}

core::FilePosition PositionMap::Find(std::string path) const {
  while (true) {
    const auto it = positions_.find(path);
    if (it != positions_.end()) {
      return it->second;
    }
    if (path.empty()) {
      return core::FilePosition{};
    }
    const size_t end = path.find_last_of(".[");
    path.resize(end == std::string::npos ? 0 : end);
  }
}

YamlDocument ReadYaml(std::string_view text, const std::string& file,
                      Message* message) {
  YamlDocument document;
  YamlReader reader(file, &document);
  document.positions.Set("", core::FilePosition{file, 1, 1});
  try {
    const std::string copy(text);
    const DocumentCounter counter = CountDocuments(copy);
    if (counter.count() == 1) {
      reader.ReadGroup(YAML::Load(copy), "", message);
      return document;
    }
    const bool empty = counter.count() == 0;
    document.faulty_paths.insert("");
    document.findings.Add(
        empty ? core::FilePosition{file, 1, 1}
              : reader.PositionOf(counter.start()),
        empty ? "the file holds no YAML document" : "a second YAML document",
        "one YAML document with a group of keys");
  } catch (const std::bad_alloc&) {
    // Not a fault of the text.
    throw;
  } catch (const YAML::Exception& error) {
    AddParserFinding(error, reader, &document);
  } catch (const std::exception& error) {
    document.faulty_paths.insert("");
    document.findings.Add(core::FilePosition{file, 1, 1},
                          absl::StrCat("not YAML: ", error.what()),
                          "one YAML document with a group of keys");
  }
  return document;
}

}  // namespace hawthorn::settings
