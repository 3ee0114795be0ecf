#ifndef PAPAYAGLADE_STATE_IDENTITY_H_
#define PAPAYAGLADE_STATE_IDENTITY_H_

#include <cstdint>
#include <string>

namespace papayaglade {

/// An IP address and TCP port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;
};

inline bool operator==(const endpoint& a, const endpoint& b) {
  return a.port == b.port && a.address == b.address;
}
inline bool operator!=(const endpoint& a, const endpoint& b) {
  return !(a == b);
}

/// Identifies one run of one instance. A restart keeps the name and changes the
/// incarnation.
struct instance_identity {
  std::string name;
  std::uint64_t incarnation = 0;
};

inline bool operator==(const instance_identity& a, const instance_identity& b) {
  return a.incarnation == b.incarnation && a.name == b.name;
}
inline bool operator!=(const instance_identity& a, const instance_identity& b) {
  return !(a == b);
}

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_IDENTITY_H_
