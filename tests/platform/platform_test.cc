#include <gtest/gtest.h>

#include "platform/configuration_codec.h"
#include "platform/heartbeat_codec.h"
#include "platform/platform_dialect.h"

namespace borageloft::platform {
namespace {

constexpr const char* kConfiguration =
    R"({"version":"r7","services":[{"name":"a","max_conns":5},{"name":"b"}],)"
    R"("limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"hosts":[{"host":"h.example","paths":[)"
    R"({"name":"r1","path_prefix":"/x/","kind":"safe","timeout_ms":800,"target_latency_ms":1500,)"
    R"("priority":2,"split":[{"service":"a","weight":90},{"service":"b","weight":10}],)"
    R"("attempts":2},{"name":"r2","path_prefix":"/y/","kind":"unsafe","timeout_ms":900,"service":"b"}]}]})";

http_stream::RequestMessage Call(const std::string& target, const std::string& body = "") {
  http_stream::RequestMessage message;
  message.method = "POST";
  message.target = target;
  message.body = body;
  return message;
}

TEST(ConfigurationCodecTest, ReadsRoutesServicesAndLimits) {
  const declaration::Declaration declaration = DecodeConfiguration(kConfiguration);
  EXPECT_FALSE(declaration::FindFault(declaration));
  EXPECT_EQ(declaration.version, 7U);
  ASSERT_EQ(declaration.routes.size(), 2U);
  EXPECT_EQ(declaration.routes[0].repetition, declaration::Repetition::kIdempotent);
  EXPECT_EQ(declaration.routes[0].timeout, std::chrono::milliseconds(800));
  EXPECT_EQ(declaration.routes[0].targets.size(), 2U);
  EXPECT_EQ(declaration.routes[1].repetition, declaration::Repetition::kAtMostOnce);
  EXPECT_EQ(declaration.routes[1].attempts, 1U);
  EXPECT_EQ(declaration.limits.idle_timeout, std::chrono::seconds(15));
}

// Guards against accounts that are read past, and against downloads that are never retried.
TEST(ConfigurationCodecTest, ReadsClientAccounts) {
  std::string text = kConfiguration;
  text.replace(text.find("\"unsafe\""), 8, "\"download\",\"public\":true");
  text.insert(text.find("\"hosts\""),
              R"("tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"rate_per_s":2.5,)"
              R"("burst":7},{"name":"u","api_keys":[]}],)");
  const declaration::Declaration declaration = DecodeConfiguration(text);
  const std::vector<declaration::ClientAccount>& accounts = AccountsOf(declaration);
  ASSERT_EQ(accounts.size(), 2U);
  EXPECT_EQ(accounts[0].keys, (std::vector<std::string>{"k1", "k2"}));
  EXPECT_EQ(accounts[0].priority, 1U);
  EXPECT_EQ(accounts[0].quota, (declaration::AccountQuota{2.5, 7}));
  EXPECT_FALSE(accounts[1].quota.is_limited());
  EXPECT_TRUE(declaration.routes[1].is_public);
  EXPECT_EQ(declaration.routes[1].repetition, declaration::Repetition::kIdempotent);
  for (const char* wrong : {R"("tenants":{},)", R"("tenants":[{"name":"t"}],)",
                            R"("tenants":[{"name":"t","api_keys":[1]}],)",
                            R"("tenants":[{"name":"t","api_keys":[],"burst":"x"}],)"}) {
    std::string broken = kConfiguration;
    broken.insert(broken.find("\"hosts\""), wrong);
    EXPECT_THROW(DecodeConfiguration(broken), declaration::DeclarationError) << wrong;
  }
}

// Guards against a node that asks for no keys because the last tenant was taken away.
TEST(ConfigurationCodecTest, TellsAnEmptyListOfTenantsFromNone) {
  EXPECT_FALSE(DecodeConfiguration(kConfiguration).accounts.has_value());
  const auto decode = [](const char* field) {
    std::string text = kConfiguration;
    text.insert(text.find("\"hosts\""), field);
    return DecodeConfiguration(text);
  };
  const declaration::Declaration declaration = decode(R"("tenants":[],)");
  EXPECT_FALSE(declaration::FindFault(declaration));
  ASSERT_TRUE(declaration.accounts.has_value());
  EXPECT_TRUE(declaration.accounts->empty());
  // Some encoders write an empty list this way; it must not lift the need for keys.
  EXPECT_THROW(decode(R"("tenants":null,)"), declaration::DeclarationError);
}

// Guards against a health path that is ignored because it is no text.
TEST(ConfigurationCodecTest, RefusesAHealthPathThatIsNoText) {
  std::string text = kConfiguration;
  text.insert(text.find("\"max_conns\""), R"("health_path":7,)");
  EXPECT_THROW(DecodeConfiguration(text), declaration::DeclarationError);
}

// Guards against accepting a truncated configuration.
TEST(ConfigurationCodecTest, RefusesTruncatedText) {
  const std::string text = kConfiguration;
  for (std::size_t size = 0; size < text.size(); ++size) {
    EXPECT_THROW(DecodeConfiguration(text.substr(0, size)), declaration::DeclarationError) << size;
  }
  EXPECT_THROW(DecodeConfiguration(text + "}"), declaration::DeclarationError);
}

std::optional<std::string> FaultAfterReplacing(const std::string& from, const std::string& to) {
  std::string text = kConfiguration;
  text.replace(text.find(from), from.size(), to);
  try {
    return declaration::FindFault(DecodeConfiguration(text));
  } catch (const declaration::DeclarationError& error) {
    return error.what();
  }
}

// Guards against accepting an empty host because it has no route that could be checked.
TEST(ConfigurationCodecTest, RefusesAnEmptyHostWithoutRoutes) {
  EXPECT_EQ(FaultAfterReplacing("\"hosts\":[", "\"hosts\":[{\"host\":\"\",\"paths\":[]},"),
            "a host is empty");
}

// Guards against a default in place of a stated value that has no meaning.
TEST(ConfigurationCodecTest, RefusesZeroAndContradictoryValues) {
  EXPECT_FALSE(FaultAfterReplacing("\"timeout_ms\":800", "\"timeout_ms\":801"));
  const std::vector<std::pair<std::string, std::string>> faults = {
      {"\"timeout_ms\":800", "\"timeout_ms\":0"},
      {"\"timeout_ms\":800", "\"timeout_ms\":0.5"},
      {"\"timeout_ms\":800,", ""},
      {"\"attempts\":2", "\"attempts\":0"},
      {"\"attempts\":2", "\"attempts\":4294967297"},
      {"\"priority\":2", "\"priority\":4294967296"},
      {"\"split\":", "\"service\":\"a\",\"split\":"},
      {"\"split\":", "\"service\":\"c\",\"split\":"},
      {"\"max_header_bytes\":100", "\"max_header_bytes\":0"},
      {"\"idle_timeout_ms\":15000", "\"idle_timeout_ms\":0"},
  };
  for (const auto& [from, to] : faults) {
    EXPECT_TRUE(FaultAfterReplacing(from, to)) << to;
  }
}

// Guards against a process that ends because of a configuration from another writer.
TEST(ConfigurationCodecTest, RefusesDeepNestingAndHugeNumbers) {
  for (const std::string& value :
       {std::string(200'000, '['), std::string("1e400"), std::string("-1e400"),
        "{\"a\":" + std::string(2000, '[') + std::string(2000, ']') + "}"}) {
    EXPECT_TRUE(FaultAfterReplacing("\"weight\":90", "\"weight\":" + value));
    EXPECT_TRUE(FaultAfterReplacing("\"max_conns\":5", "\"max_conns\":" + value));
  }
}

TEST(ConfigurationCodecTest, ReadsVersions) {
  EXPECT_EQ(ParseVersion("r12"), 12U);
  EXPECT_EQ(ParseVersion("0"), 0U);
  EXPECT_EQ(ParseVersion("\"r5\""), 5U);
  for (const char* text : {"", "r", "r-1", "r1x", "x1", "99999999999999999999999"}) {
    EXPECT_FALSE(ParseVersion(text)) << text;
  }
}

constexpr const char* kHeartbeat =
    R"({"addr":"10.0.0.9:80","born":1700000000000,"info":{"service":"a","version":"v1",)"
    R"("zone":"z","slots":8},"status":{"state":"ready","seq":4,"cold_left_ms":0}})";

// Guards against accepting an instance from a malformed heartbeat, which may be of another sender.
TEST(HeartbeatCodecTest, RefusesMalformedHeartbeats) {
  const auto heartbeat = DecodeHeartbeat("i-1", kHeartbeat);
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->born, 1700000000000U);
  EXPECT_EQ(heartbeat->slots, 8U);
  EXPECT_FALSE(DecodeHeartbeat("", kHeartbeat));
  const std::string text = kHeartbeat;
  const std::vector<std::pair<std::string, std::string>> corruptions = {
      {"1700000000000", "1.5"},
      {"1700000000000", "\"1\""},
      {"\"ready\"", "\"gone\""},
      {"\"seq\":4", "\"seq\":-4"},
      {"\"slots\":8", "\"slots\":\"8\""},
      {"\"born\"", "\"bron\""},
      {"\"service\":\"a\"", "\"service\":null"},
      {"{\"addr\"", "[\"addr\""},
      {"\"slots\":8", "\"slots\":4294967296"},
      {"\"slots\":8", "\"slots\":18446744073709551615"},
      {"\"slots\":8", "\"slots\":1e400"},
      {"\"seq\":4", "\"seq\":18446744073709551615"},
      {"1700000000000", "18446744073709551615"},
      {"\"cold_left_ms\":0", "\"cold_left_ms\":1e300"},
      {"10.0.0.9:80", "10.0.0.9:65536"},
      {"10.0.0.9:80", "10.0.0.9:0"},
      {"10.0.0.9:80", "10.0.0.9"},
      {"\"cold_left_ms\":0", "\"cold_left_ms\":" + std::string(200'000, '[')},
      {"\"cold_left_ms\":0",
       "\"x\":" + std::string(900, '[') + std::string(900, ']') + ",\"cold_left_ms\":-1e300"},
  };
  for (const auto& [from, to] : corruptions) {
    std::string corrupted = text;
    corrupted.replace(corrupted.find(from), from.size(), to);
    EXPECT_FALSE(DecodeHeartbeat("i-1", corrupted)) << corrupted;
  }
  base::Random random = base::SeededRandom(9);
  for (int i = 0; i < 20'000; ++i) {
    std::string corrupted = text;
    corrupted[base::DrawBelow(random, corrupted.size())] = static_cast<char>(random());
    DecodeHeartbeat("i-1", corrupted);
  }
}

TEST(PlatformDialectTest, NamesWhatUpstreamsSayInTheirAnswers) {
  const request_path::HeaderNames names = MakePlatformDialect().headers;
  EXPECT_EQ(names.upstream_rate_limit, "Server-Limit");
  EXPECT_EQ(names.upstream_leaving, "Server-Leaving");
}

TEST(PlatformDialectTest, ReadsEachCall) {
  const mesh::Dialect dialect = MakePlatformDialect();
  http_stream::RequestMessage ready;
  ready.method = "GET";
  ready.target = "/borageloft/ready";
  EXPECT_TRUE(std::holds_alternative<mesh::ReadinessCall>(dialect.decode_call(ready)));
  const mesh::NodeCall heartbeat_call =
      dialect.decode_call(Call("/borageloft/rpc?call=instances.heartbeat&of=i-1", kHeartbeat));
  ASSERT_TRUE(std::holds_alternative<mesh::HeartbeatCall>(heartbeat_call));
  const mesh::NodeCall leave =
      dialect.decode_call(Call("/borageloft/rpc?call=instances.leave&of=i-1", R"({"born":1786})"));
  ASSERT_TRUE(std::holds_alternative<mesh::LeaveCall>(leave));
  EXPECT_EQ(std::get<mesh::LeaveCall>(leave).incarnation, (directory::Incarnation{"i-1", 1786}));
  for (const char* body : {"", "{", "[]", R"({"born":"1786"})", R"({"born":-1})"}) {
    const mesh::NodeCall unclear =
        dialect.decode_call(Call("/borageloft/rpc?call=instances.leave&of=i-1", body));
    ASSERT_TRUE(std::holds_alternative<mesh::LeaveCall>(unclear)) << body;
    EXPECT_EQ(std::get<mesh::LeaveCall>(unclear).incarnation, (directory::Incarnation{"i-1", 0}));
  }
  EXPECT_TRUE(std::holds_alternative<mesh::ReadCall>(
      dialect.decode_call(Call("/borageloft/rpc?call=config.get"))));
  http_stream::RequestMessage put = Call("/borageloft/rpc?call=config.put", kConfiguration);
  EXPECT_TRUE(std::holds_alternative<mesh::RefusedCall>(dialect.decode_call(put)));
  put.fields.push_back({"If-Match", "r5"});
  const mesh::NodeCall replace = dialect.decode_call(put);
  ASSERT_TRUE(std::holds_alternative<mesh::ReplaceCall>(replace));
  EXPECT_EQ(std::get<mesh::ReplaceCall>(replace).command.base, 5U);
  EXPECT_EQ(std::get<mesh::ReplaceCall>(replace).command.text, kConfiguration);
  for (const char* target : {"/borageloft/rpc", "/borageloft/rpc?call=none", "/other",
                             "/borageloft/rpc?call=instances.leave"}) {
    const mesh::NodeCall call = dialect.decode_call(Call(target));
    ASSERT_TRUE(std::holds_alternative<mesh::RefusedCall>(call)) << target;
    EXPECT_EQ(std::get<mesh::RefusedCall>(call).status, 404U);
  }
}

}  // namespace
}  // namespace borageloft::platform
