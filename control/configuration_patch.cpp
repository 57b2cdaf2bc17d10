#include "control/configuration_patch.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string_view>

namespace hawthorn::control {
namespace {

using google::protobuf::RepeatedPtrField;
using settings::Problem;

template <typename T>
using List = RepeatedPtrField<T>;
using Names = RepeatedPtrField<std::string>;

constexpr auto kHasLowerId = [](const auto* a, const auto* b) {
  return a->id() < b->id();
};

template <typename T>
void SortList(List<T>* list) {
  std::stable_sort(list->pointer_begin(), list->pointer_end(), kHasLowerId);
}

// Index of the element `id`, or -1.
template <typename T>
int IndexIn(const List<T>& list, const std::string& id) {
  const auto it =
      std::lower_bound(list.begin(), list.end(), id,
                       [](const T& element, const std::string& key) {
                         return element.id() < key;
                       });
  const bool is_found = it != list.end() && it->id() == id;
  return is_found ? static_cast<int>(it - list.begin()) : -1;
}

template <typename T>
const T* FindIn(const List<T>& list, const std::string& id) {
  const int index = IndexIn(list, id);
  return index < 0 ? nullptr : &list.Get(index);
}

template <typename T>
void DiffList(const List<T>& before, const List<T>& after, List<T>* put,
              Names* remove) {
  auto a = before.begin();
  for (const T& it : after) {
    while (a != before.end() && a->id() < it.id()) {
      *remove->Add() = a->id();
      ++a;
    }
    const bool is_known = a != before.end() && a->id() == it.id();
    if (!is_known || a->SerializeAsString() != it.SerializeAsString()) {
      *put->Add() = it;
    }
    if (is_known) {
      ++a;
    }
  }
  for (; a != before.end(); ++a) {
    *remove->Add() = a->id();
  }
}

template <typename T>
void InvertList(const List<T>& before, const List<T>& put, const Names& remove,
                List<T>* inverse_put, Names* inverse_remove) {
  for (const T& it : put) {
    const T* old = FindIn(before, it.id());
    if (old != nullptr) {
      *inverse_put->Add() = *old;
    } else {
      *inverse_remove->Add() = it.id();
    }
  }
  for (const std::string& id : remove) {
    const T* old = FindIn(before, id);
    if (old != nullptr) {
      *inverse_put->Add() = *old;
    }
  }
}

template <typename T>
void CheckList(const List<T>& before, const List<T>& put, const Names& remove,
               const std::string& name, std::vector<Problem>* problems) {
  absl::flat_hash_set<std::string_view> seen;
  for (const T& it : put) {
    const std::string path = absl::StrCat(name, "[", it.id(), "]");
    if (!seen.insert(it.id()).second) {
      problems->push_back({path, "the id stands twice", "each id once"});
    }
    const std::vector<Problem> found = settings::CheckRules(it, path);
    problems->insert(problems->end(), found.begin(), found.end());
  }
  for (const std::string& id : remove) {
    const std::string path = absl::StrCat(name, "[", id, "]");
    if (!seen.insert(id).second) {
      problems->push_back({path, "the id stands twice", "each id once"});
    }
    if (FindIn(before, id) == nullptr) {
      problems->push_back({path, "no such id to remove", "ids in force"});
    }
  }
}

template <typename T>
void RemoveFrom(const Names& remove, List<T>* list) {
  if (remove.empty()) {
    return;
  }
  const absl::flat_hash_set<std::string_view> ids(remove.begin(), remove.end());
  int kept = 0;
  for (int i = 0; i < list->size(); ++i) {
    if (!ids.contains(list->Get(i).id())) {
      list->SwapElements(i, kept);
      ++kept;
    }
  }
  list->DeleteSubrange(kept, list->size() - kept);
}

template <typename T>
void PutInto(const List<T>& put, List<T>* list) {
  const int old_size = list->size();
  List<T> added;
  for (const T& it : put) {
    const int index = IndexIn(*list, it.id());
    if (index >= 0) {
      *list->Mutable(index) = it;
    } else {
      *added.Add() = it;
    }
  }
  if (added.empty()) {
    return;
  }
  SortList(&added);
  list->MergeFrom(added);
  std::inplace_merge(list->pointer_begin(), list->pointer_begin() + old_size,
                     list->pointer_end(), kHasLowerId);
}

}  // namespace

void SortConfiguration(schema::Configuration* configuration) {
  SortList(configuration->mutable_organisations());
  SortList(configuration->mutable_services());
  SortList(configuration->mutable_classes());
}

schema::ConfigurationPatch DiffConfigurations(
    const schema::Configuration& before, const schema::Configuration& after) {
  schema::ConfigurationPatch patch;
  DiffList(before.organisations(), after.organisations(),
           patch.mutable_put_organisations(),
           patch.mutable_remove_organisations());
  DiffList(before.services(), after.services(), patch.mutable_put_services(),
           patch.mutable_remove_services());
  DiffList(before.classes(), after.classes(), patch.mutable_put_classes(),
           patch.mutable_remove_classes());
  if (before.weight_store_concurrent_loads() !=
      after.weight_store_concurrent_loads()) {
    patch.set_weight_store_concurrent_loads(
        after.weight_store_concurrent_loads());
  }
  return patch;
}

schema::ConfigurationPatch InvertPatch(
    const schema::Configuration& before,
    const schema::ConfigurationPatch& patch) {
  schema::ConfigurationPatch inverse;
  InvertList(before.organisations(), patch.put_organisations(),
             patch.remove_organisations(), inverse.mutable_put_organisations(),
             inverse.mutable_remove_organisations());
  InvertList(before.services(), patch.put_services(), patch.remove_services(),
             inverse.mutable_put_services(), inverse.mutable_remove_services());
  InvertList(before.classes(), patch.put_classes(), patch.remove_classes(),
             inverse.mutable_put_classes(), inverse.mutable_remove_classes());
  if (patch.weight_store_concurrent_loads() != 0) {
    inverse.set_weight_store_concurrent_loads(
        before.weight_store_concurrent_loads());
  }
  return inverse;
}

std::vector<Problem> CheckPatch(const schema::Configuration& before,
                                const schema::ConfigurationPatch& patch) {
  std::vector<Problem> problems;
  CheckList(before.organisations(), patch.put_organisations(),
            patch.remove_organisations(), "organisations", &problems);
  CheckList(before.services(), patch.put_services(), patch.remove_services(),
            "services", &problems);
  CheckList(before.classes(), patch.put_classes(), patch.remove_classes(),
            "classes", &problems);
  return problems;
}

void ApplyPatch(const schema::ConfigurationPatch& patch,
                schema::Configuration* configuration) {
  RemoveFrom(patch.remove_organisations(),
             configuration->mutable_organisations());
  RemoveFrom(patch.remove_services(), configuration->mutable_services());
  RemoveFrom(patch.remove_classes(), configuration->mutable_classes());
  PutInto(patch.put_organisations(), configuration->mutable_organisations());
  PutInto(patch.put_services(), configuration->mutable_services());
  PutInto(patch.put_classes(), configuration->mutable_classes());
  if (patch.weight_store_concurrent_loads() != 0) {
    configuration->set_weight_store_concurrent_loads(
        patch.weight_store_concurrent_loads());
  }
}

}  // namespace hawthorn::control
