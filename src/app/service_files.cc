#include "app/service_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "protocol/configuration_check.h"
#include "protocol/configuration_codec.h"

namespace papayaglade {

namespace {

constexpr char kSuffix[] = ".papayaglade.json";

bool HasSuffix(const std::string& path) {
  const std::string suffix = kSuffix;
  return path.size() >= suffix.size() &&
         path.compare(path.size() - suffix.size(), suffix.size(), suffix) == 0;
}

std::vector<std::string> FindFiles(const std::string& folder,
                                   fault_list& faults) {
  std::vector<std::string> paths;
  std::error_code failed;
  std::filesystem::recursive_directory_iterator files(folder, failed);
  if (failed) {
    faults.push_back({folder, "", "cannot be read: " + failed.message(),
                      "give a readable folder"});
    return paths;
  }
  for (const auto& each : files) {
    const std::string path = each.path().string();
    if (each.is_regular_file() && HasSuffix(path)) paths.push_back(path);
  }
  return paths;
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) return std::nullopt;
  std::stringstream text;
  text << stream.rdbuf();
  if (stream.bad()) return std::nullopt;
  return text.str();
}

configuration CollectServices(const std::vector<std::string>& folders,
                              fault_list& faults) {
  std::vector<std::string> paths;
  for (const std::string& folder : folders) {
    const auto found = FindFiles(folder, faults);
    paths.insert(paths.end(), found.begin(), found.end());
  }
  std::sort(paths.begin(), paths.end());
  configuration config;
  std::vector<std::string> origins;
  for (const std::string& path : paths) {
    const auto text = ReadFile(path);
    if (!text.has_value()) {
      faults.push_back({path, "", "cannot be read", "make it readable"});
      continue;
    }
    config.services.push_back(ParseServiceFile(path, *text, faults));
    origins.push_back(path);
  }
  if (paths.empty()) {
    faults.push_back({"", "", "no service file was found",
                      std::string("give folders that contain *") + kSuffix});
  }
  CheckConfiguration(config, origins, faults);
  return config;
}

void PrintFaults(const fault_list& faults, bool json) {
  if (json) {
    nlohmann::json rows = nlohmann::json::array();
    for (const fault& each : faults) {
      rows.push_back({{"file", each.file},
                      {"pointer", each.pointer},
                      {"message", each.message},
                      {"remedy", each.remedy}});
    }
    std::cout << nlohmann::json({{"faults", rows}}).dump() << "\n";
    return;
  }
  for (const fault& each : faults) {
    std::cerr << each.file << ": " << each.pointer << ": " << each.message
              << "; " << each.remedy << "\n";
  }
}

}  // namespace papayaglade
