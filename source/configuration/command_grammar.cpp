// The grammar of the command language in Boost.Spirit X3, in a separate file because it compiles
// slowly. No rule is recursive, so the grammar bounds the nesting depth.

#include <algorithm>
#include <utility>

#include <boost/fusion/include/std_pair.hpp>
#include <boost/spirit/home/x3.hpp>
#include <fmt/format.h>

#include "configuration/command.hpp"
#include "configuration/grammar_actions.hpp"

namespace ospreystair::configuration
{

namespace
{

namespace x3 = boost::spirit::x3;

// Sets a member of the rule's value to the matched attribute. A clause that occurs twice does not
// match.
template<class Owner, class Value>
auto set_once(std::optional<Value> Owner::*member)
{
    return [member](auto& context)
    {
        auto& target = x3::_val(context).*member;
        if (target)
            x3::_pass(context) = false;
        target = x3::_attr(context);
    };
}

const auto name_character = x3::char_("a-zA-Z0-9_.-");

auto keyword(const char* text)
{
    return x3::lexeme[x3::lit(text) >> !name_character];
}

const x3::rule<class name_id, std::string> name = "a name";
const auto name_def = x3::lexeme[+name_character];

const x3::rule<class number_id, std::uint32_t> number = "a whole number";
const auto number_def = x3::lexeme[x3::uint32 >> !name_character];

const x3::rule<class version_id, std::uint64_t> version_number = "a version number";
const auto version_number_def = x3::lexeme[x3::uint64 >> !name_character];

const x3::rule<class duration_id, std::chrono::milliseconds> milliseconds = "a time like 500ms";
const auto milliseconds_def = x3::lexeme[x3::uint32 >> "ms" >> !name_character][(
    [](auto& context) { x3::_val(context) = std::chrono::milliseconds{x3::_attr(context)}; })];

const x3::rule<class address_id, settings::socket_address> address = "an address like 10.0.0.1:80";
const auto address_def = x3::lexeme[+x3::char_("0-9a-fA-F:.[]")][(
    [](auto& context)
    {
        const auto& characters = x3::_attr(context);
        const auto parsed =
            settings::socket_address::from_text(std::string(characters.begin(), characters.end()));
        if (parsed)
            x3::_val(context) = *parsed;
        else
            x3::_pass(context) = false;
    })];

const auto kind_keyword = [](const char* text, service_kind value)
{
    return keyword(text) >> x3::attr(value);
};
const auto preference_keyword = [](const char* text, preference value)
{
    return keyword(text) >> x3::attr(value);
};

const x3::rule<class kind_id, service_kind> service_kind_value = "query or command";
const auto service_kind_value_def =
    kind_keyword("query", service_kind::query) | kind_keyword("command", service_kind::command);

const x3::rule<class preference_id, preference> preference_value = "latency or coverage";
const auto preference_value_def = preference_keyword("latency", preference::latency) |
                                  preference_keyword("coverage", preference::coverage);

const x3::rule<class rules_id, service_rules> rules = "service rules";
const auto rule_clause =
    (keyword("prefer") > preference_value[set_once(&service_rules::prefer)]) |
    (keyword("deadline") > milliseconds[set_once(&service_rules::deadline)]) |
    (keyword("max_concurrency") > number[set_once(&service_rules::max_concurrency)]) |
    (keyword("hedge_percent") > number[set_once(&service_rules::hedge_percent)]) |
    (keyword("retry_percent") > number[set_once(&service_rules::retry_percent)]);
const auto rules_def = *rule_clause;

const x3::rule<class properties_id, replica_properties> properties = "replica properties";
const auto property_clause =
    (keyword("at") > address[set_once(&replica_properties::address)]) |
    (keyword("data_centre") > name[set_once(&replica_properties::data_centre)]) |
    (keyword("slots") > number[set_once(&replica_properties::slots)]) |
    (keyword("connections") > number[set_once(&replica_properties::connections)]);
const auto properties_def = *property_clause;

// `service.shard` if neither name contains a dot, otherwise `shard of service`.
const x3::rule<class path_id, shard_path> replica_path = "service.shard";
const auto replica_path_def =
    (name >> keyword("of") >> name)[(
        [](auto& context)
        {
            const auto& parts = x3::_attr(context);
            x3::_val(context) = {boost::fusion::at_c<1>(parts), boost::fusion::at_c<0>(parts)};
        })] |
    name[(
        [](auto& context)
        {
            const std::string& text = x3::_attr(context);
            const std::size_t dot = text.find('.');
            if (dot == std::string::npos || dot == 0 || dot + 1 == text.size() ||
                text.find('.', dot + 1) != std::string::npos)
                x3::_pass(context) = false;
            else
                x3::_val(context) = {text.substr(0, dot), text.substr(dot + 1)};
        })];

const x3::rule<class shard_in_service_id, shard_path> shard_in_service = "shard in service";
const auto shard_in_service_def = name[set(&shard_path::shard)] >
                                  keyword("in") > name[set(&shard_path::service)];

const x3::rule<class create_service_id, create_service> create_service_rule = "create service";
const auto create_service_rule_def =
    name[set(&create_service::name)] > keyword("kind") >
    service_kind_value[set(&create_service::kind)] > rules[set(&create_service::rules)];

const x3::rule<class alter_service_id, alter_service> alter_service_rule = "alter service";
const auto alter_service_rule_def = name[set(&alter_service::name)] >
                                    keyword("set") > rules[set(&alter_service::rules)];

const x3::rule<class create_replica_id, create_replica> create_replica_rule = "create replica";
const auto create_replica_rule_def = name[set(&create_replica::name)] >
                                     keyword("in") > replica_path[set(&create_replica::path)] >
                                     properties[(
                                         [](auto& context)
                                         {
                                             const replica_properties& parsed_properties =
                                                 x3::_attr(context);
                                             if (!parsed_properties.address ||
                                                 !parsed_properties.data_centre)
                                                 x3::_pass(context) = false;
                                             x3::_val(context).properties = parsed_properties;
                                         })];

const x3::rule<class alter_replica_id, alter_replica> alter_replica_rule = "alter replica";
const auto alter_replica_rule_def = name[set(&alter_replica::name)] >
                                    keyword("set") > properties[set(&alter_replica::properties)];

// Sets the rule's value to a statement whose only member is the matched attribute.
template<class Statement>
auto set_statement()
{
    return [](auto& context)
    {
        x3::_val(context) = Statement{x3::_attr(context)};
    };
}

const x3::rule<class change_id, change> change_rule = "a change";
const auto change_rule_def =
    (keyword("create") >> ((keyword("service") > create_service_rule[assign_value()]) |
                           (keyword("shard") > shard_in_service[set_statement<create_shard>()]) |
                           (keyword("replica") > create_replica_rule[assign_value()]))) |
    (keyword("alter") >> ((keyword("service") > alter_service_rule[assign_value()]) |
                          (keyword("replica") > alter_replica_rule[assign_value()]))) |
    (keyword("drop") >> ((keyword("service") > name[set_statement<drop_service>()]) |
                         (keyword("shard") > shard_in_service[set_statement<drop_shard>()]) |
                         (keyword("replica") > name[set_statement<drop_replica>()]))) |
    (keyword("drain") > keyword("upstream") > name[set_statement<drain_upstream>()]) |
    (keyword("restore") > keyword("upstream") > name[set_statement<restore_upstream>()]);

const auto topic_keyword = [](const char* text, show_topic value)
{
    return keyword(text) >> x3::attr(value);
};

const x3::rule<class topic_id, show_topic> topic_rule = "what to show";
const auto topic_rule_def =
    topic_keyword("services", show_topic::services) | topic_keyword("shards", show_topic::shards) |
    topic_keyword("replicas", show_topic::replicas) |
    topic_keyword("members", show_topic::members) |
    topic_keyword("configuration", show_topic::configuration) |
    topic_keyword("indexes", show_topic::indexes) |
    topic_keyword("draining", show_topic::draining) | topic_keyword("history", show_topic::history);

const x3::rule<class changes_id, std::vector<change>> changes_rule = "changes";
const auto append = [](auto& context)
{
    if (x3::_val(context).size() == max_statement_count)
        x3::_pass(context) = false;
    else
        x3::_val(context).push_back(std::move(x3::_attr(context)));
};
const auto changes_rule_def = change_rule[append] >> *(x3::lit(';') >> change_rule[append]) >>
                              -x3::lit(';');

const x3::rule<class compare_id, compare_versions> compare_rule = "compare version";
const auto compare_rule_def = keyword("version") > version_number[set(&compare_versions::from)] >
                              keyword("with") > version_number[set(&compare_versions::to)];

const x3::rule<class inquiry_id, inquiry> inquiry_rule = "an inquiry";
const auto inquiry_rule_def =
    ((keyword("show") >> keyword("configuration") >> keyword("version")) >
     version_number[set_statement<show_version>()]) |
    (keyword("show") > topic_rule[set_statement<show>()]) |
    (keyword("compare") > compare_rule[assign_value()]) |
    (keyword("check") > x3::lit('{') > changes_rule[set_statement<check_changes>()] > x3::lit('}'));

const x3::rule<class inquiries_id, std::vector<inquiry>> inquiries_rule = "inquiries";
const auto inquiries_rule_def = inquiry_rule[append] >> *(x3::lit(';') >> inquiry_rule[append]) >>
                                -x3::lit(';');

const x3::rule<class names_id, std::vector<std::string>> names_rule = "names";
const auto names_rule_def = name % ',';

const x3::rule<class publish_id, publish_index> publish_rule = "publish index";
const auto set_current_flag = [](auto& context)
{
    x3::_val(context).set_current = true;
};
const auto publish_rule_def = keyword("publish") >
                              keyword("index") > name[set(&publish_index::service)] >
                              keyword("version") > version_number[set(&publish_index::version)] >
                              ((keyword("shards") > names_rule[set(&publish_index::shards)] >
                                -(keyword("set") > keyword("current"))[set_current_flag]) |
                               (keyword("set") > keyword("current"))[set_current_flag]) >
                              -x3::lit(';');

const x3::rule<class change_set_id, change_set> change_set_rule = "changes";
const auto change_set_rule_def =
    -(keyword("expect") > keyword("version") > version_number[set(&change_set::expected_version)] >
      -x3::lit(';')) >>
    changes_rule[set(&change_set::changes)];

const x3::rule<class command_id, command> command_rule = "a command";
const auto command_rule_def =
    publish_rule[assign_value()] | inquiries_rule[assign_value()] | change_set_rule[assign_value()];

BOOST_SPIRIT_DEFINE(name, number, version_number, milliseconds, address, service_kind_value,
                    preference_value, rules, properties, replica_path, shard_in_service,
                    create_service_rule, alter_service_rule, create_replica_rule,
                    alter_replica_rule, change_rule, topic_rule, changes_rule, compare_rule,
                    inquiry_rule, inquiries_rule, names_rule, publish_rule, change_set_rule,
                    command_rule)

struct statement_usage
{
    std::string_view prefix;
    std::string_view syntax;
};

constexpr statement_usage statement_usages[] = {
    {"create service", "create service NAME kind query|command [prefer latency|coverage] "
                       "[deadline 500ms] [max_concurrency N] [hedge_percent N] [retry_percent N]"},
    {"alter service", "alter service NAME set [prefer latency|coverage] [deadline 500ms] "
                      "[max_concurrency N] [hedge_percent N] [retry_percent N]"},
    {"drop service", "drop service NAME"},
    {"create shard", "create shard NAME in SERVICE"},
    {"drop shard", "drop shard NAME in SERVICE"},
    {"create replica", "create replica NAME in SERVICE.SHARD at IP:PORT data_centre NAME "
                       "[slots N] [connections N]"},
    {"alter replica",
     "alter replica NAME set [at IP:PORT] [data_centre NAME] [slots N] [connections N]"},
    {"drop replica", "drop replica NAME"},
    {"drain", "drain upstream NAME"},
    {"restore", "restore upstream NAME"},
    {"show", "show services|shards|replicas|members|configuration|indexes|draining|history, or "
             "show configuration version N"},
    {"compare", "compare version N with N"},
    {"check", "check { CHANGE; CHANGE }"},
    {"publish", "publish index SERVICE version N [shards NAME, NAME] [set current]"},
    {"expect", "expect version N; CHANGE; CHANGE"},
};

bool is_space(char character)
{
    return character == ' ' || character == '\t' || character == '\r' || character == '\n';
}

constexpr std::string_view statement_overview =
    "a statement that starts with create, alter, drop, drain, restore, show, compare, check, "
    "publish "
    "or expect; changes, publications and inquiries go into separate commands";

bool has_unclosed_brace(std::string_view text)
{
    return std::count(text.begin(), text.end(), '{') > std::count(text.begin(), text.end(), '}');
}

// Returns the syntax of the statement at `position`, or the overview if the statement is unknown.
std::string_view syntax_at(std::string_view text, std::size_t position)
{
    const std::size_t separator =
        position == 0 ? std::string_view::npos : text.find_last_of(";{", position - 1);
    std::size_t start = separator == std::string_view::npos ? 0 : separator + 1;
    while (start < text.size() && is_space(text[start]))
        ++start;
    // A later statement that fails at its first character is either unknown or of another kind than
    // the statements before it.
    if (start == position && start > 0)
        return statement_overview;
    if (position == text.size() && has_unclosed_brace(text))
        return "check { CHANGE; CHANGE }";
    constexpr std::size_t max_prefix_length = 32;
    std::string normalized_text;
    for (const char character : text.substr(start, max_prefix_length))
        if (!is_space(character))
            normalized_text += character;
        else if (!normalized_text.empty() && normalized_text.back() != ' ')
            normalized_text += ' ';
    for (const statement_usage& item : statement_usages)
        if (normalized_text.starts_with(item.prefix))
            return item.syntax;
    return statement_overview;
}

// Returns the text at `position` in quotes, with unprintable characters replaced.
std::string excerpt(std::string_view text, std::size_t position)
{
    constexpr std::size_t length = 24;
    std::string result;
    for (const char character : text.substr(std::min(position, text.size()), length))
    {
        const bool is_printable = character >= ' ' && character <= '~';
        result += is_printable ? character : '?';
    }
    return result.empty() ? "the end" : fmt::format("\"{}\"", result);
}

std::nullopt_t refuse_at(std::string_view text, std::size_t position, base::error& reason)
{
    while (position < text.size() && is_space(text[position]))
        ++position;
    return base::fail(reason, base::error_kind::invalid_argument,
                      fmt::format("cannot read the command at character {}, {}; write {}",
                                  position + 1, excerpt(text, position),
                                  syntax_at(text, position)));
}

} // namespace

std::optional<command> parse_command(std::string_view text, base::error& reason,
                                     std::size_t max_bytes)
{
    if (text.size() > max_bytes)
        return base::fail(reason, base::error_kind::invalid_argument,
                          fmt::format("the command has {} bytes; send at most {} and split it into "
                                      "several",
                                      text.size(), max_bytes));
    // Only ASCII is accepted: X3's character classes cover nothing else, and std::isspace is
    // undefined for negative values.
    const auto non_ascii =
        std::find_if(text.begin(), text.end(),
                     [](char character) { return static_cast<unsigned char>(character) >= 0x80; });
    if (non_ascii != text.end())
        return refuse_at(text, static_cast<std::size_t>(non_ascii - text.begin()), reason);

    command result;
    const auto* position = text.data();
    const auto* const end = text.data() + text.size();
    try
    {
        if (x3::phrase_parse(position, end, command_rule, x3::ascii::space, result) &&
            position == end)
            return result;
    }
    catch (const x3::expectation_failure<const char*>& failure)
    {
        position = failure.where();
    }
    return refuse_at(text, static_cast<std::size_t>(position - text.data()), reason);
}

} // namespace ospreystair::configuration
