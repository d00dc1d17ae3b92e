#include "linnetlane/service/parse.h"

#include <string>
#include <string_view>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/service/check.h"

namespace linnetlane::service {
namespace {

constexpr auto complete = std::string_view{R"(id = "finding"
generation = 3
kind = "model"
[shape]
piece_size = 2000
prefill_rate = 20000
result_kept = "800ms"
[targets]
first_token = "1.8s"
between_tokens = "40ms"
[policy]
waste_weight = 0.25
[[callers]]
id = "inspectors"
key_hash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
priority = "batch"
[[upstreams]]
id = "finding-p1"
data_centre = "bne-north"
role = "prefill"
address = "10.0.0.5:8000"
[[upstreams]]
id = "finding-d1"
data_centre = "bne-north"
role = "decode"
address = "10.0.0.6:8000"
checks_fencing = true
)"};

auto with(std::string_view from, std::string_view to) -> std::string {
    auto text = std::string{complete};
    auto const place = text.find(from);
    BOOST_REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

auto errors_of(std::string_view text) -> std::string {
    auto const parsed = parse_document(text);
    auto lines = std::string{};
    if (auto const* errors = base::failure_of(parsed)) {
        for (auto const& error : *errors) {
            lines += to_string(error) + "\n";
        }
    }
    return lines;
}

BOOST_AUTO_TEST_CASE(a_complete_document_is_read) {
    BOOST_REQUIRE_EQUAL(errors_of(complete), "");
    auto const parsed = parse_document(complete);
    auto const& read = base::value_of(parsed);
    BOOST_TEST(read.id == base::service_id{"finding"});
    BOOST_TEST(read.generation == base::generation{3});
    BOOST_TEST((read.targets.first_token == std::chrono::milliseconds{1800}));
    BOOST_TEST(read.policy.waste_weight.value == 0.25);
    BOOST_TEST((read.callers.front().priority == base::priority_class::batch));
    BOOST_TEST(read.upstreams.size() == 2U);
    BOOST_TEST(read.upstreams.back().checks_fencing);
}

BOOST_AUTO_TEST_CASE(an_unknown_field_is_reported) {
    BOOST_TEST(errors_of(with("piece_size", "peice_size")) ==
               "line 5: shape.peice_size: unknown key\n");
    BOOST_TEST(errors_of(with("checks_fencing", "fenced")) ==
               "line 27: upstreams[1].fenced: unknown key\n");
}

BOOST_AUTO_TEST_CASE(a_wrong_type_is_reported) {
    BOOST_TEST(errors_of(with("\"1.8s\"", "1.8")) ==
               "line 9: targets.first_token: wrong type (expected a duration such as \"1.8s\" or "
               "\"40ms\")\n");
    BOOST_TEST(errors_of(with("\"1.8s\"", "\"1.8 s\"")) ==
               "line 9: targets.first_token: not a duration (1.8 s)\n");
}

BOOST_AUTO_TEST_CASE(an_address_that_is_not_an_ip_address_is_reported) {
    BOOST_TEST(errors_of(with("10.0.0.5:8000", "engine.example:8000")) ==
               "line 21: upstreams[0].address: not an IP number with a port "
               "(engine.example:8000)\n");
}

BOOST_AUTO_TEST_CASE(upstream_ids_and_addresses_are_unique) {
    BOOST_TEST(errors_of(with("finding-d1", "finding-p1")) ==
               "line 23: upstreams[1].id: two upstreams of one id (finding-p1)\n");
    BOOST_TEST(errors_of(with("10.0.0.6", "10.0.0.5")) ==
               "line 26: upstreams[1].address: two upstreams at one address (finding-d1)\n");
}

BOOST_AUTO_TEST_CASE(roles_must_fit_the_kind) {
    BOOST_TEST(errors_of(with("role = \"decode\"", "role = \"plain\"")) ==
               "line 17: upstreams: too few upstreams to serve a request (expected a prefill and a "
               "decode engine in one data centre)\n"
               "line 25: upstreams[1].role: a role that the kind of service doesn't have "
               "(finding-d1)\n");
}

BOOST_AUTO_TEST_CASE(a_model_service_needs_both_roles_in_one_data_centre) {
    auto text = with("data_centre = \"bne-north\"", "data_centre = \"bne-south\"");
    BOOST_TEST(errors_of(text) ==
               "line 17: upstreams: too few upstreams to serve a request (expected a prefill and a "
               "decode engine in one data centre)\n");
}

BOOST_AUTO_TEST_CASE(values_are_bounded) {
    BOOST_TEST(errors_of(with("piece_size = 2000", "piece_size = 0")) ==
               "line 5: shape.piece_size: out of bounds (0 is not from 1 to 100000000)\n");
    BOOST_TEST(errors_of(with("waste_weight = 0.25", "waste_weight = 1.5")) ==
               "line 12: policy.waste_weight: out of bounds (1.5 is not from 0 to 1)\n");
    BOOST_TEST(errors_of(with("\"40ms\"", "\"25h\"")) ==
               "line 10: targets.between_tokens: out of bounds (not above 0 and at most 24h)\n");
}

constexpr auto key_hash_line = std::string_view{
    "key_hash = \"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\"\n"};

BOOST_AUTO_TEST_CASE(key_hashes_are_checked) {
    BOOST_TEST(errors_of(with("2bb80d", "2BB80D")) ==
               "line 15: callers[0].key_hash: not a SHA-256 in 64 lower-case hexadecimal digits\n");
    auto const shared = std::string{complete} + "[[callers]]\nid = \"auditors\"\n";
    BOOST_TEST(errors_of(shared + std::string{key_hash_line}) ==
               "line 30: callers[1].key_hash: two callers that can't be told apart by key "
               "(auditors)\n");
}

BOOST_AUTO_TEST_CASE(either_all_callers_have_keys_or_none) {
    auto const second = std::string{"[[callers]]\nid = \"inspectors\"\n[[callers]]"};
    BOOST_TEST(errors_of(with("[[callers]]", second)) ==
               "line 13: callers[0].key_hash: a caller without a key beside others that have one "
               "(inspectors)\n"
               "line 16: callers[1].id: two callers of one id (inspectors)\n");
    auto const none = "[[callers]]\nid = \"auditors\"\n";
    BOOST_TEST(errors_of(with(key_hash_line, none)) == "");
}

BOOST_AUTO_TEST_CASE(a_plain_service_has_a_route) {
    constexpr auto plain = std::string_view{
        "id = \"jobs\"\nkind = \"plain\"\nroute = \"/jobs/\"\n[[upstreams]]\nid = \"j1\"\n"
        "data_centre = \"bne-north\"\nrole = \"plain\"\naddress = \"10.0.0.7:80\"\n"};
    BOOST_TEST(errors_of(plain) == "");
    auto without = std::string{plain};
    without.replace(without.find("/jobs/"), 6, "/v1/x/");
    BOOST_TEST(errors_of(without) ==
               "line 3: route: not a path prefix that this service may have (expected a prefix "
               "such as \"/jobs/\")\n");
}

BOOST_AUTO_TEST_CASE(a_tombstone_needs_no_upstreams) {
    BOOST_TEST(errors_of("id = \"jobs\"\nkind = \"plain\"\nremoved = true\ngeneration = 9\n") ==
               "");
}

BOOST_AUTO_TEST_CASE(a_text_over_the_limit_is_refused_unread) {
    auto const parsed = parse_document(std::string(max_document_bytes + 1, '#'));
    auto const* const errors = base::failure_of(parsed);
    BOOST_REQUIRE(errors != nullptr);
    BOOST_TEST(fault_word(errors->front()) == "too_long");
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_at_once) {
    BOOST_TEST(errors_of("kind = \"modal\"\n[[upstreams]]\nid = 1\n") ==
               "line 1: id: missing key\n"
               "line 1: kind: unknown word (modal)\n"
               "line 2: upstreams[0].data_centre: missing key\n"
               "line 2: upstreams[0].role: missing key\n"
               "line 2: upstreams[0].address: missing key\n"
               "line 3: upstreams[0].id: wrong type (expected a string)\n");
}

BOOST_AUTO_TEST_CASE(a_generation_is_set_and_the_rest_of_the_text_stays) {
    BOOST_TEST(with_generation("# ours\ngeneration = 3 # old\nid = \"a\"", base::generation{4}) ==
               "# ours\ngeneration = 4\nid = \"a\"");
    BOOST_TEST(with_generation("# ours\n[a]\ngeneration = 3\n", base::generation{4}) ==
               "generation = 4\n# ours\n[a]\ngeneration = 3\n");
    BOOST_TEST(with_generation("generation = 3", base::generation{4}) == "generation = 4\n");
    BOOST_TEST(with_generation("", base::generation{4}) == "generation = 4\n");
}

auto any_name() -> rc::Gen<std::string> {
    return rc::gen::resize(20, rc::gen::nonEmpty(rc::gen::container<std::string>(
                                   rc::gen::elementOf(std::string{"abcXYZ019"}))));
}

auto any_span() -> rc::Gen<base::duration> {
    return rc::gen::map(rc::gen::inRange<std::int64_t>(1, 3'600'000'000'000),
                        [](std::int64_t count) { return base::duration{count}; });
}

auto any_document() -> document {
    auto made = document{};
    made.id.value = *any_name();
    made.generation.value = *rc::gen::inRange<std::uint64_t>(0, 1'000'000'000);
    made.kind = *rc::gen::element(service_kind::model, service_kind::plain);
    made.route = made.kind == service_kind::plain ? "/" + *any_name() + "/" : "";
    made.repeatable_by_default = *rc::gen::arbitrary<bool>();
    made.shape.prefill_rate.per_second = *rc::gen::inRange(1, 1'000'000) / 7.0;
    made.shape.result_kept = *any_span();
    made.targets.between_tokens = *any_span();
    made.policy.waste_weight.value = *rc::gen::inRange(0, 1000) / 1000.0;
    made.deployment.model = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string{"a/:\"'\\\n\t# =[]\x01\x7f"}));
    made.deployment.adapters = *rc::gen::container<std::vector<std::string>>(any_name());
    auto const upstreams = *rc::gen::inRange(2, 8);
    for (auto index = 0; index < upstreams; ++index) {
        auto const engine = index % 2 == 0 ? upstream_role::prefill : upstream_role::decode;
        made.upstreams.push_back({{"u" + std::to_string(index)},
                                  {"dc"},
                                  made.kind == service_kind::plain ? upstream_role::plain : engine,
                                  {"::1", static_cast<std::uint16_t>(index + 1)},
                                  *rc::gen::arbitrary<bool>(),
                                  *rc::gen::arbitrary<bool>()});
    }
    made.callers.push_back({{*any_name()}, "", *rc::gen::inRange(1, 100) / 3.0, {}});
    return made;
}

RC_BOOST_PROP(a_document_round_trips_through_text, ()) {
    auto const made = any_document();
    RC_PRE(check_document(made).empty());
    auto const text = format_document(made);
    RC_LOG() << text;
    auto const parsed = parse_document(text);
    RC_ASSERT(errors_of(text).empty());
    RC_ASSERT(base::value_of(parsed) == made);
    RC_ASSERT(format_document(base::value_of(parsed)) == text);
}

}  // namespace
}  // namespace linnetlane::service
