#ifndef PAPAYAGLADE_STATE_OVERLOADED_H_
#define PAPAYAGLADE_STATE_OVERLOADED_H_

namespace papayaglade {

/// A std::variant visitor built from one lambda per alternative.
template <typename... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_OVERLOADED_H_
