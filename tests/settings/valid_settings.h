#pragma once

// Valid settings, for tests that modify them.
namespace hawthorn::settings {

inline constexpr char kValidSettings[] = R"(instance: a-1
zone: north
http_listen: 127.0.0.1:8080
peer_listen: 127.0.0.1:7300
data_folder: data
peer_key_file: peer.key
operator_key_file: operator.key
limits:
  idle_timeout: 5s
  max_body: 2MiB
instances:
  - {instance: a-1, zone: north, address: "10.0.0.1:7300", has_disk: true, control_voter: true, ledger_zones: [north]}
  - {instance: a-2, zone: south, address: "10.0.0.2:7300", ledger_zones: [south]}
)";

}  // namespace hawthorn::settings
