#include "settings/reference.h"

#include <absl/strings/str_cat.h>
#include <google/protobuf/message.h>

#include <string>

#include "control.pb.h"
#include "settings.pb.h"
#include "settings/field_rule.h"

namespace hawthorn::settings {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

constexpr char kHead[] =
    "# Settings reference\n\n"
    "This page is written from the schema; change `schema/*.proto` and run\n"
    "`hawthornctl settings reference > docs/SETTINGS.md`.\n\n"
    "Files are YAML. Unknown and doubled keys, wrong types, missing units,\n"
    "values out of range and contradictions are refused together, each with\n"
    "its file, line and column. Paths are relative to the folder of the file\n"
    "that names them.\n";

// Writes a table for a group of keys, followed by the tables of its sub-groups.
class ReferenceWriter {
 public:
  void WriteGroup(const Descriptor& type, const std::string& path) {
    absl::StrAppend(&text_, "\n### ", path.empty() ? "Top level" : path, "\n\n",
                    type.options().GetExtension(schema::about),
                    "\n\n| Key | Allowed | Default | Meaning |\n",
                    "|---|---|---|---|\n");
    for (int i = 0; i < type.field_count(); ++i) {
      WriteRow(*type.field(i));
    }
    for (int i = 0; i < type.field_count(); ++i) {
      const FieldDescriptor& field = *type.field(i);
      if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        WriteGroup(*field.message_type(),
                   absl::StrCat(path, path.empty() ? "" : ".", KeyOf(field),
                                field.is_repeated() ? "[]" : ""));
      }
    }
  }

  std::string TakeText() { return std::move(text_); }

 private:
  void WriteRow(const FieldDescriptor& field) {
    const schema::FieldRule& rule = RuleOf(field);
    std::string default_text = rule.default_value();
    if (default_text.empty()) {
      default_text = rule.required() ? "required" : "none";
    } else {
      default_text = absl::StrCat("`", default_text, "`");
    }
    absl::StrAppend(&text_, "| `", KeyOf(field), "` | ", AllowedOf(field),
                    " | ", default_text, " | ", rule.doc(), " |\n");
  }

  std::string text_;
};

}  // namespace

std::string SettingsReference() {
  ReferenceWriter settings;
  settings.WriteGroup(*schema::Settings::descriptor(), "");
  ReferenceWriter configuration;
  configuration.WriteGroup(*schema::Configuration::descriptor(), "");
  return absl::StrCat(kHead, "\n## Settings of an instance\n",
                      settings.TakeText(), "\n## Configuration\n",
                      configuration.TakeText());
}

}  // namespace hawthorn::settings
