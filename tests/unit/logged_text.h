#ifndef PAPAYAGLADE_TESTS_UNIT_LOGGED_TEXT_H_
#define PAPAYAGLADE_TESTS_UNIT_LOGGED_TEXT_H_

#include <array>
#include <cstddef>
#include <cstdio>
#include <memory>
#include <string>

namespace papayaglade {

/// A file that takes the lines of a log.
class logged_text {
 public:
  int Descriptor() const { return fileno(file_.get()); }

  /// Returns all that has been flushed to the file.
  std::string Text() const {
    std::rewind(file_.get());
    std::string text;
    std::array<char, 4096> buffer{};
    std::size_t count = 0;
    while ((count = std::fread(buffer.data(), 1, buffer.size(), file_.get())) >
           0)
      text.append(buffer.data(), count);
    return text;
  }

  /// Returns how often `what` stands in the file.
  std::size_t Count(const std::string& what) const {
    const std::string text = Text();
    std::size_t count = 0;
    for (std::size_t at = text.find(what); at != std::string::npos;
         at = text.find(what, at + 1))
      ++count;
    return count;
  }

 private:
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_{std::tmpfile(),
                                                        std::fclose};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_LOGGED_TEXT_H_
