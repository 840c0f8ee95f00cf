// The grammar of the statements over live state in Boost.Spirit X3. It is in a separate file
// because it compiles slowly. No rule is recursive, so that the grammar bounds the nesting depth.

#include <algorithm>
#include <charconv>
#include <cmath>

#include <boost/spirit/home/x3.hpp>
#include <fmt/format.h>

#include "configuration/grammar_actions.hpp"
#include "operators/selection.hpp"

namespace ospreystair::operators
{

namespace
{

namespace x3 = boost::spirit::x3;
using configuration::assign_value;
using configuration::set;

// Appends to a list member with a bounded length.
template<class Owner, class Value>
auto append(std::vector<Value> Owner::*member)
{
    return [member](auto& context)
    {
        auto& target = x3::_val(context).*member;
        if (target.size() == max_condition_count)
            x3::_pass(context) = false;
        else
            target.push_back(x3::_attr(context));
    };
}

const auto word_character = x3::char_("a-zA-Z0-9_.:/-");

auto keyword(const char* text)
{
    return x3::lexeme[x3::lit(text) >> !word_character];
}

const x3::rule<class field_id, std::string> field = "a field";
const auto field_def = x3::lexeme[x3::char_("a-zA-Z_") >> *x3::char_("a-zA-Z0-9_.")];

const x3::rule<class word_id, std::string> word = "a word";
const auto word_def = x3::lexeme[+word_character];

const x3::rule<class text_id, std::string> quoted = "a quoted text";
const auto quoted_def =
    x3::lexeme['"' >> *(('\\' >> x3::char_("\"\\\\")) | ~x3::char_("\"\\")) >> '"'];

// Parses the whole text as a finite decimal number. x3::double_ is off by one unit in the last
// place for some long numbers and accepts "nan" and "inf".
auto assign_number()
{
    return [](auto& context)
    {
        const std::string& text = x3::_attr(context);
        const char* const end = text.data() + text.size();
        double number = 0;
        const auto parsed = std::from_chars(text.data(), end, number);
        x3::_pass(context) = parsed.ec == std::errc{} && parsed.ptr == end && std::isfinite(number);
        x3::_val(context) = number;
    };
}

const x3::rule<class number_text_id, std::string> number_text = "the digits of a number";
const auto number_text_def = x3::lexeme[+(word_character | x3::char_('+'))];

const x3::rule<class number_id, double> number = "a number";
const auto number_def = number_text[assign_number()];

const x3::rule<class value_id, cell> value = "a value";
const auto value_def = (keyword("true") >> x3::attr(true))[assign_value()] |
                       (keyword("false") >> x3::attr(false))[assign_value()] |
                       number[assign_value()] | quoted[assign_value()] | word[assign_value()];

const auto operation = [](const char* text, comparison result_value)
{
    return x3::lit(text) >> x3::attr(result_value);
};

const x3::rule<class comparison_id, comparison> comparison_rule = "a comparison";
const auto comparison_rule_def =
    operation("!=", comparison::not_equal) | operation("<=", comparison::less_or_equal) |
    operation(">=", comparison::greater_or_equal) | operation("=", comparison::equal) |
    operation("<", comparison::less) | operation(">", comparison::greater) |
    (keyword("contains") >> x3::attr(comparison::contains));

const x3::rule<class condition_id, condition> condition_rule = "a condition";
const auto condition_rule_def = field[set(&condition::field)] >
                                comparison_rule[set(&condition::operation)] >
                                value[set(&condition::value)];

const auto percentile = [](const char* text, aggregate_function function)
{
    return x3::lit(text) >> x3::attr(function);
};
const x3::rule<class function_id, aggregate_function> function_rule = "a percentile";
const auto function_rule_def =
    percentile("p50", aggregate_function::p50) | percentile("p99", aggregate_function::p99);

const x3::rule<class aggregate_id, aggregate> aggregate_rule = "an aggregate";
const auto aggregate_rule_def =
    keyword("count") |
    ((function_rule[set(&aggregate::function)] >> '(') > field[set(&aggregate::field)] > ')');

const x3::rule<class column_id, std::string> column = "a column";
const auto column_def =
    aggregate_rule[([](auto& context) { x3::_val(context) = x3::_attr(context).name(); })] |
    field[assign_value()];

const x3::rule<class ordering_id, ordering> ordering_rule = "an ordering";
const auto ordering_rule_def =
    column[set(&ordering::column)] >
    -keyword("desc")[([](auto& context) { x3::_val(context).is_descending = true; })];

const auto kind_word = [](const char* text, row_kind result_value)
{
    return keyword(text) >> x3::attr(result_value);
};
const x3::rule<class kind_id, row_kind> kind_rule = "what to select";
const auto kind_rule_def =
    kind_word("requests", row_kind::requests) | kind_word("events", row_kind::events) |
    kind_word("upstreams", row_kind::upstreams) | kind_word("vms", row_kind::vms);

const x3::rule<class selection_id, selection> selection_rule = "a selection";
const auto selection_rule_def =
    keyword("select") > kind_rule[set(&selection::kind)] >
    -(keyword("where") > (condition_rule[append(&selection::conditions)] % keyword("and"))) >
    -(keyword("compute") > (aggregate_rule[append(&selection::aggregates)] % ',') >
      -(keyword("by") > field[set(&selection::group_by)])) >
    -(keyword("order") > keyword("by") > ordering_rule[set(&selection::order)]) >
    -(keyword("limit") > x3::uint32[set(&selection::limit)]);

const x3::rule<class explain_id, explanation_request> explain_rule = "explain request";
const auto explain_rule_def = keyword("explain") >
                              keyword("request") > word[set(&explanation_request::request_id)];

const x3::rule<class inquiry_id, live_inquiry> inquiry_rule = "an inquiry";
const auto inquiry_rule_def = (selection_rule[assign_value()] | explain_rule[assign_value()]) >>
                              -x3::lit(';');

BOOST_SPIRIT_DEFINE(field, word, quoted, number_text, number, value, comparison_rule,
                    condition_rule, function_rule, aggregate_rule, column, ordering_rule, kind_rule,
                    selection_rule, explain_rule, inquiry_rule)

std::nullopt_t fail_at(std::size_t position, base::error& reason)
{
    return base::fail(
        reason, base::error_kind::invalid_argument,
        fmt::format("cannot read the statement at character {}; write select "
                    "requests|events|upstreams|vms [where FIELD OP VALUE [and ...]] [compute "
                    "count, p50(FIELD), p99(FIELD) [by FIELD]] [order by COLUMN [desc]] [limit N], "
                    "or explain request ID",
                    position + 1));
}

} // namespace

bool is_live_inquiry(std::string_view text)
{
    const std::size_t start = text.find_first_not_of(" \t\r\n");
    if (start == std::string_view::npos)
        return false;
    text.remove_prefix(start);
    return text.starts_with("select") || text.starts_with("explain");
}

std::optional<live_inquiry> parse_live_inquiry(std::string_view text, base::error& reason)
{
    if (text.size() > max_selection_bytes)
        return base::fail(reason, base::error_kind::invalid_argument,
                          fmt::format("the statement has {} bytes; send at most {}", text.size(),
                                      max_selection_bytes));
    // X3's character classes are ASCII only, and std::isspace is undefined for negative values.
    const auto non_ascii =
        std::find_if(text.begin(), text.end(),
                     [](char character) { return static_cast<unsigned char>(character) >= 0x80; });
    if (non_ascii != text.end())
        return fail_at(static_cast<std::size_t>(non_ascii - text.begin()), reason);
    live_inquiry result;
    const auto* position = text.data();
    const auto* const end = text.data() + text.size();
    try
    {
        if (x3::phrase_parse(position, end, inquiry_rule, x3::ascii::space, result) &&
            position == end)
            return result;
    }
    catch (const x3::expectation_failure<const char*>& failure)
    {
        position = failure.where();
    }
    return fail_at(static_cast<std::size_t>(position - text.data()), reason);
}

} // namespace ospreystair::operators
