#ifndef PAPAYAGLADE_TRANSPORT_CONNECTION_END_H_
#define PAPAYAGLADE_TRANSPORT_CONNECTION_END_H_

namespace papayaglade {

/// Who ended a caller's connection, and why.
enum class connection_end {
  kCallerClosed,  ///< The caller closed it in order.
  kCallerReset,   ///< The caller reset it, or the link broke.
  kTimeout,       ///< The header or idle timeout passed.
  kUnread,        ///< The caller does not read, and memory is short.
  kInstance,      ///< The instance closed it: idle, or after its last answer.
  kStopping,      ///< The instance closed it because its process ends.
};

/// Returns the name of `end` for logs and metrics, such as "caller_closed".
const char* ConnectionEndName(connection_end end);

/// Returns true if the caller, or the link to it, ended the connection.
bool IsEndedByCaller(connection_end end);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_CONNECTION_END_H_
