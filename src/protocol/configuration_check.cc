#include "protocol/configuration_check.h"

#include <map>

#include "protocol/configuration_codec.h"

namespace papayaglade {

namespace {

// Records the file in which each name is first used, and adds a fault for each
// further use.
class unique_names {
 public:
  unique_names(std::string name_kind, fault_list& faults)
      : name_kind_(std::move(name_kind)), faults_(faults) {}

  void Add(const std::string& name, const std::string& file,
           const std::string& pointer) {
    if (name.empty()) return;
    const auto added = first_file_.emplace(name, file);
    if (added.second) return;
    faults_.push_back({file, pointer,
                       name_kind_ + " \"" + name + "\" stands in " +
                           added.first->second + " too",
                       "give each " + name_kind_ + " its own"});
  }

 private:
  std::string name_kind_;
  fault_list& faults_;
  std::map<std::string, std::string> first_file_;
};

std::string Pointer(const char* member, std::size_t index, const char* key) {
  return std::string("/") + member + "/" + std::to_string(index) + "/" + key;
}

}  // namespace

void CheckConfiguration(const configuration& config,
                        const std::vector<std::string>& origins,
                        fault_list& faults) {
  unique_names services("service name", faults);
  unique_names workloads("workload name", faults);
  unique_names upstreams("upstream name", faults);
  unique_names addresses("upstream address", faults);
  for (std::size_t i = 0; i < config.services.size(); ++i) {
    const service_definition& service = config.services[i];
    const std::string& file = origins.at(i);
    services.Add(service.name, file, "/service");
    for (std::size_t w = 0; w < service.workloads.size(); ++w) {
      workloads.Add(service.workloads[w].name, file,
                    Pointer("workloads", w, "name"));
    }
    for (std::size_t u = 0; u < service.upstreams.size(); ++u) {
      const upstream_definition& upstream = service.upstreams[u];
      upstreams.Add(upstream.name, file, Pointer("upstreams", u, "name"));
      const std::string address = upstream.address.address + ":" +
                                  std::to_string(upstream.address.port);
      addresses.Add(address, file, Pointer("upstreams", u, "port"));
    }
  }
  const std::size_t size = FormatConfiguration(config).size();
  if (size <= kMaxObjectBytes) return;
  faults.push_back({"", "",
                    "the configuration has " + std::to_string(size) +
                        " bytes, the platform stores " +
                        std::to_string(kMaxObjectBytes),
                    "shorten names or publish fewer services"});
}

}  // namespace papayaglade
