#include "app/publication.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "protocol/configuration_codec.h"

namespace papayaglade {

namespace {

using trompeloeil::_;

class mock_platform : public blocking_platform {
 public:
  MAKE_MOCK1(Call, platform_reply(const platform_operation&), override);
  MAKE_MOCK1(Pause, void(std::chrono::milliseconds), override);
};

configuration WithService(const std::string& name) {
  service_definition service;
  service.name = name;
  service.upstreams.push_back({"u-" + name, "kigali", {"127.0.0.1", 1}, {}});
  service.workloads.push_back({});
  service.workloads.front().name = "w-" + name;
  configuration config;
  config.services.push_back(service);
  return config;
}

platform_reply Stored(const configuration& config, std::uint64_t version) {
  platform_reply reply;
  reply.status = platform_status::kOk;
  reply.objects.push_back(
      {"configuration", "current", version, FormatConfiguration(config)});
  return reply;
}

platform_reply Status(platform_status status) {
  platform_reply reply;
  reply.status = status;
  return reply;
}

bool IsPut(const platform_operation& operation) {
  return std::holds_alternative<platform_put>(operation);
}

bool IsGet(const platform_operation& operation) {
  return std::holds_alternative<platform_get>(operation);
}

const error& CauseOf(const publication_outcome& outcome) {
  return std::get<publication_refused>(outcome).cause;
}

}  // namespace

TEST_CASE("a write with a lost answer is recognized as accepted by its id") {
  mock_platform platform;
  platform_reply kept = Status(platform_status::kNotFound);
  ALLOW_CALL(platform, Pause(_));
  ALLOW_CALL(platform, Call(_)).WITH(IsGet(_1)).LR_RETURN(kept);
  trompeloeil::sequence order;
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsPut(_1))
      .IN_SEQUENCE(order)
      .LR_SIDE_EFFECT(
          kept =
              Stored(*ParseConfiguration(std::get<platform_put>(_1).value), 1))
      .RETURN(Status(platform_status::kLost));
  // The repeated write conflicts with its own first attempt.
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsPut(_1))
      .IN_SEQUENCE(order)
      .RETURN(Status(platform_status::kConflict));
  const auto outcome = publication(platform).Run(WithService("a"), {}, 0);
  REQUIRE(std::holds_alternative<publication_accepted>(outcome));
  CHECK(std::get<publication_accepted>(outcome).version == 1);
}

TEST_CASE("a conflict reports the changes of both publications") {
  mock_platform platform;
  configuration base = WithService("a");
  configuration theirs = WithService("a");
  theirs.services.push_back(WithService("theirs").services.front());
  theirs.publication_id = "theirs";
  configuration wanted = WithService("a");
  wanted.services.push_back(WithService("ours").services.front());
  trompeloeil::sequence order;
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsGet(_1))
      .IN_SEQUENCE(order)
      .RETURN(Stored(base, 4));
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsPut(_1) && std::get<platform_put>(_1).expected_version == 4)
      .IN_SEQUENCE(order)
      .RETURN(Status(platform_status::kConflict));
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsGet(_1))
      .IN_SEQUENCE(order)
      .RETURN(Stored(theirs, 5));
  const auto outcome = publication(platform).Run(wanted, {}, 0);
  CHECK(CauseOf(outcome).kind == error_kind::kConflict);
  CHECK(CauseOf(outcome).message.find("+theirs") != std::string::npos);
  CHECK(CauseOf(outcome).message.find("+ours") != std::string::npos);
}

TEST_CASE("a service in force is removed only if it is named") {
  mock_platform platform;
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsGet(_1))
      .RETURN(Stored(WithService("a"), 1));
  const auto refused = publication(platform).Run(WithService("b"), {}, 0);
  CHECK(CauseOf(refused).message.find(" a") != std::string::npos);
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsGet(_1))
      .RETURN(Stored(WithService("a"), 1));
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsPut(_1))
      .RETURN(Status(platform_status::kOk));
  const auto accepted = publication(platform).Run(WithService("b"), {"a"}, 0);
  CHECK(std::holds_alternative<publication_accepted>(accepted));
}

TEST_CASE(
    "a platform restored with a lower version is raised above the fleet") {
  mock_platform platform;
  std::vector<std::uint64_t> replaced;
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsGet(_1))
      .RETURN(Stored(WithService("a"), 2));
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsPut(_1))
      .TIMES(3)
      .LR_SIDE_EFFECT(
          replaced.push_back(std::get<platform_put>(_1).expected_version))
      .RETURN(Status(platform_status::kOk));
  const auto outcome = publication(platform).Run(WithService("a"), {}, 4);
  CHECK(std::get<publication_accepted>(outcome).version == 5);
  CHECK(replaced == std::vector<std::uint64_t>{2, 3, 4});
}

TEST_CASE("the outcome is unknown if a later version is in force") {
  mock_platform platform;
  configuration later = WithService("a");
  later.publication_id = "later";
  trompeloeil::sequence order;
  ALLOW_CALL(platform, Pause(_));
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsGet(_1))
      .IN_SEQUENCE(order)
      .RETURN(Stored(WithService("a"), 1));
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsPut(_1))
      .IN_SEQUENCE(order)
      .RETURN(Status(platform_status::kLost));
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsPut(_1))
      .IN_SEQUENCE(order)
      .RETURN(Status(platform_status::kConflict));
  REQUIRE_CALL(platform, Call(_))
      .WITH(IsGet(_1))
      .IN_SEQUENCE(order)
      .RETURN(Stored(later, 3));
  const auto outcome = publication(platform).Run(WithService("a"), {}, 0);
  CHECK(CauseOf(outcome).kind == error_kind::kOutcomeUnknown);
}

}  // namespace papayaglade
