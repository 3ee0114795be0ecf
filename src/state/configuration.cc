#include "state/configuration.h"

namespace papayaglade {

const char* RequestClassName(request_class value) {
  switch (value) {
    case request_class::kCounter:
      return "counter";
    case request_class::kFull:
      return "full";
    case request_class::kArchive:
      return "archive";
  }
  return "unknown";
}

}  // namespace papayaglade
