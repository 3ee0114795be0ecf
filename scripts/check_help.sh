#!/usr/bin/env bash
# Checks that every setting, service file member and command has a help page.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=0
require_page() {
  ls help/$1 >/dev/null 2>&1 || { echo "no help page: help/$1"; missing=1; }
}
for key in $(grep -oE '"[a-z_]+_ms"|"[a-z_]+_bytes"|"(name|data_centre|callers|operators|peers|peers_listen|seeds|platform|peer_key|connections|requests_in_flight|platform_calls_per_second)"' src/protocol/settings_codec.cc | tr -d '"' | sort -u); do
  require_page "settings/*$key.md"
done
for key in $(grep -oE '(String|Integer|Number|Bool)\(\s*"[a-z_]+"' src/protocol/configuration_codec.cc | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u); do
  require_page "service-files/*$key.md"
done
for key in $(grep -oE '(RequiredString|OptionalString|OptionalInteger|OptionalNumber|Strings|ReadTimeout)\(\s*"[a-z_]+"|Read(Endpoint|Timeout)\(reader, "[a-z_]+"' src/protocol/entry_settings_codec.cc | grep -oE '"[a-z_]+"' | tr -d '"' | sort -u); do
  require_page "entry-settings/*$key.md"
done
for command in $(grep -oE '^ *\{"[a-z-]+"' src/app/main.cc | grep -oE '[a-z-]+'); do
  require_page "commands/$command.md"
done
exit $missing
