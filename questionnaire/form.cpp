#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <google/protobuf/message.h>

#include <string>

#include "questionnaire.pb.h"
#include "questionnaire/questionnaire.h"
#include "settings/field_rule.h"

namespace hawthorn::questionnaire {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

constexpr size_t kLineWidth = 78;

constexpr char kHead[] =
    "# Questionnaire for a new deployment. Fill in the values and run\n"
    "#   hawthornctl questionnaire generate THIS_FILE --out DIR\n"
    "# Durations and sizes carry a unit: 250ms, 30s, 5m, 64KiB, 8MiB.\n"
    "# Repeat the elements of lists, which start with '-', as often as needed\n"
    "# and remove lists that do not apply. A key that is left out has the\n"
    "# value shown here.\n";

// Writes the questions of all groups of keys.
class FormWriter {
 public:
  void WriteGroup(const Descriptor& type, const std::string& indent,
                  bool is_element) {
    std::string first_prefix = is_element ? indent + "- " : indent;
    const std::string prefix = is_element ? indent + "  " : indent;
    for (int i = 0; i < type.field_count(); ++i) {
      if (i > 0 || !is_element) {
        first_prefix = prefix;
      }
      WriteQuestion(*type.field(i), first_prefix, prefix);
    }
  }

  std::string TakeText() { return std::move(text_); }

 private:
  void WriteQuestion(const FieldDescriptor& field,
                     const std::string& first_prefix,
                     const std::string& indent) {
    const auto& rule = settings::RuleOf(field);
    const bool is_group = field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
    if (indent.empty()) {
      text_ += "\n";
    }
    WriteComment(rule.doc(), indent);
    if (!is_group) {
      WriteComment(absl::StrCat("Allowed: ", settings::AllowedOf(field), "."),
                   indent);
    }
    const std::string key = settings::KeyOf(field);
    if (is_group) {
      absl::StrAppend(&text_, first_prefix, key, ":\n");
      WriteGroup(*field.message_type(), indent + "  ", field.is_repeated());
      return;
    }
    const std::string value = field.is_repeated() ? "[]" : rule.default_value();
    absl::StrAppend(&text_, first_prefix, key, ":", value.empty() ? "" : " ",
                    value, "\n");
  }

  void WriteComment(const std::string& comment, const std::string& indent) {
    std::string line = indent + "#";
    for (const auto& word : absl::StrSplit(comment, ' ')) {
      if (line.size() + 1 + word.size() > kLineWidth) {
        absl::StrAppend(&text_, line, "\n");
        line = indent + "#";
      }
      absl::StrAppend(&line, " ", word);
    }
    absl::StrAppend(&text_, line, "\n");
  }

  std::string text_;
};

}  // namespace

std::string QuestionnaireForm() {
  FormWriter writer;
  writer.WriteGroup(*schema::Answers::descriptor(), "", false);
  return kHead + writer.TakeText();
}

}  // namespace hawthorn::questionnaire
