#include "transport/link_frame.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <utility>
#include <websocketpp/frame.hpp>

namespace papayaglade {

namespace {

namespace frame = websocketpp::frame;

// Masks `payload` in place and returns the key.
frame::masking_key_type Mask(std::string& payload) {
  static thread_local std::random_device random;
  frame::masking_key_type key;
  key.i = static_cast<std::int32_t>(random());
  frame::byte_mask(payload.begin(), payload.end(), key);
  return key;
}

std::string FormatHeader(std::size_t size,
                         std::optional<frame::masking_key_type> key) {
  const frame::basic_header basic(frame::opcode::binary, size, true,
                                  key.has_value());
  const auto extended =
      key.has_value()
          ? frame::extended_header(size, static_cast<std::uint32_t>(key->i))
          : frame::extended_header(size);
  return frame::prepare_header(basic, extended);
}

}  // namespace

link_frame_pointer MakeLinkFrame(std::string payload, link_end sender) {
  std::optional<frame::masking_key_type> key;
  if (sender == link_end::kDialling) key = Mask(payload);
  auto result = std::make_shared<link_frame>(nullptr, frame::opcode::binary, 0);
  result->set_header(FormatHeader(payload.size(), key));
  result->get_raw_payload() = std::move(payload);
  result->set_prepared(true);
  return result;
}

void unsent_frames::Add(const link_frame_pointer& frame, monotonic_time now) {
  EraseSent();
  Add({frame, frame->get_payload().size(), now});
}

void unsent_frames::Add(const unsent_frames& others) {
  for (const entry& each : others.frames_) Add(each);
}

void unsent_frames::Add(const entry& added) {
  const link_frame_pointer frame = added.frame.lock();
  if (frame == nullptr) return;
  const bool held = std::any_of(
      frames_.begin(), frames_.end(),
      [&](const entry& each) { return each.frame.lock() == frame; });
  if (!held) frames_.push_back(added);
}

std::size_t unsent_frames::Bytes() const {
  std::size_t bytes = 0;
  for (const entry& each : frames_) {
    if (!each.frame.expired()) bytes += each.bytes;
  }
  return bytes;
}

std::optional<monotonic_time> unsent_frames::WaitingSince() const {
  const auto first =
      std::find_if(frames_.begin(), frames_.end(),
                   [](const entry& each) { return !each.frame.expired(); });
  if (first == frames_.end()) return std::nullopt;
  return first->added;
}

void unsent_frames::EraseSent() {
  frames_.erase(
      std::remove_if(frames_.begin(), frames_.end(),
                     [](const entry& each) { return each.frame.expired(); }),
      frames_.end());
}

}  // namespace papayaglade
