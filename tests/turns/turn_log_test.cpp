#include "turns/turn_log.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "tests/turns/memory_files.h"

namespace hawthorn::turns {

namespace {

std::string Payload(int number) {
  schema::StoredTurn turn;
  turn.set_format(kTurnFormat);
  turn.set_turn("t" + std::to_string(number));
  turn.set_chain_key("a/t1");
  turn.set_input(std::string(100, 'x'));
  return turn.SerializeAsString();
}

TurnLog::Options OptionsOf(bool first_start, uint64_t incarnation = 5) {
  TurnLog::Options options;
  options.folder = "d";
  options.first_start = first_start;
  options.new_incarnation = incarnation;
  options.segment_bytes = 400;
  return options;
}

TurnLog::Opened OpenOrFail(TurnLog& log) {
  const auto opened = log.Open();
  REQUIRE(core::IsOk(opened));
  return core::Value(opened);
}

/// Appends turns one by one and returns their places.
std::vector<RecordLocation> Fill(TurnLog& log, int count) {
  std::vector<RecordLocation> places;
  for (int i = 0; i < count; ++i) {
    const auto added = log.Append({Payload(i)});
    REQUIRE(core::IsOk(added));
    places.push_back(core::Value(added).front());
  }
  return places;
}

}  // namespace

// Guards against a new folder that counts as complete although its disk was
// lost, and against one that forgets that it was complete.
TEST_CASE("the identity of a turn folder survives a restart") {
  MemoryFiles files;
  {
    TurnLog log(files, OptionsOf(false, 5));
    CHECK_FALSE(OpenOrFail(log).complete);
    REQUIRE(core::IsOk(log.MarkComplete()));
  }
  TurnLog log(files, OptionsOf(false, 6));
  const TurnLog::Opened opened = OpenOrFail(log);
  CHECK(opened.complete);
  CHECK(opened.incarnation == 5);
  MemoryFiles others;
  TurnLog first(others, OptionsOf(true, 7));
  CHECK(OpenOrFail(first).complete);
}

// Guards against records that are lost or invented when the power fails in the
// middle of a write.
TEST_CASE("a torn tail is truncated and later records follow it") {
  MemoryFiles files;
  {
    TurnLog log(files, OptionsOf(true));
    OpenOrFail(log);
    Fill(log, 4);
  }
  MemoryFiles::Content& last = std::prev(files.files.end())->second;
  last.bytes += last.bytes.substr(0, 60);
  for (int i = 0; i < 2; ++i) {
    TurnLog log(files, OptionsOf(false, 9));
    const TurnLog::Opened opened = OpenOrFail(log);
    CHECK(opened.turns.size() == size_t(4 + i));
    CHECK(opened.incarnation == 5);
    CHECK(opened.complete);
    Fill(log, 1);
  }
}

// Guards against a damaged record that hides those after it, or that a folder
// with damage still denies turns.
TEST_CASE("a damaged record is skipped and the folder is not complete") {
  MemoryFiles files;
  std::vector<RecordLocation> places;
  {
    TurnLog log(files, OptionsOf(true));
    OpenOrFail(log);
    places = Fill(log, 5);
  }
  files.files["d/turns-00000001"].bytes[places[0].offset + 40] ^= 1;
  TurnLog log(files, OptionsOf(true, 9));
  const TurnLog::Opened opened = OpenOrFail(log);
  CHECK(opened.turns.size() == 4);
  CHECK(opened.damaged == 1);
  CHECK_FALSE(opened.complete);
  CHECK(opened.incarnation == 9);
  CHECK_FALSE(core::IsOk(log.Read(places[0])));
  CHECK(core::IsOk(log.Read(places[1])));
}

// Guards against a full disk that damages what is there, or that stays refusing
// after there is room again.
TEST_CASE("a full disk refuses new turns and keeps the old ones") {
  MemoryFiles files;
  TurnLog log(files, OptionsOf(true));
  OpenOrFail(log);
  const auto places = Fill(log, 3);
  size_t used = 0;
  for (const auto& [path, content] : files.files) {
    used += content.bytes.size();
  }
  files.capacity = used + 50;
  const auto refused = log.Append({Payload(7)});
  REQUIRE_FALSE(core::IsOk(refused));
  CHECK(core::ErrorOf(refused).message.find("No space") != std::string::npos);
  files.capacity = SIZE_MAX;
  REQUIRE(core::IsOk(log.Append({Payload(8)})));
  for (const RecordLocation& it : places) {
    CHECK(core::IsOk(log.Read(it)));
  }
  TurnLog again(files, OptionsOf(false, 9));
  const TurnLog::Opened opened = OpenOrFail(again);
  CHECK(opened.turns.size() == 4);
  CHECK(opened.damaged == 0);
}

// Guards against crashes and false records when arbitrary bytes stand on the
// disk.
TEST_CASE("a turn folder opens whatever its bytes are") {
  std::mt19937_64 random(11);
  for (int round = 0; round < 300; ++round) {
    MemoryFiles files;
    std::vector<RecordLocation> places;
    {
      TurnLog log(files, OptionsOf(true));
      OpenOrFail(log);
      places = Fill(log, 6);
    }
    for (uint64_t i = 0; i < 1 + random() % 8; ++i) {
      auto it = files.files.begin();
      std::advance(it, random() % files.files.size());
      std::string& bytes = it->second.bytes;
      if (bytes.empty() || random() % 4 == 0) {
        bytes.resize(random() % (bytes.size() + 1));
      } else {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
    }
    TurnLog log(files, OptionsOf(false, 9));
    for (const TurnMeta& it : OpenOrFail(log).turns) {
      const auto turn = log.Read(it.location);
      REQUIRE(core::IsOk(turn));
      REQUIRE(core::Value(turn).input() == std::string(100, 'x'));
    }
  }
}

}  // namespace hawthorn::turns
