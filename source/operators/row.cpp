// Reads rows from JSON.

#include "operators/row.hpp"

#include <cmath>

namespace ospreystair::operators
{

namespace
{

void add_fields(row& target, const std::string& prefix, const Json::Value& value, int depth)
{
    if (depth > max_row_depth)
        return;
    for (const std::string& name : value.getMemberNames())
    {
        const Json::Value& member = value[name];
        if (member.isObject())
            add_fields(target, prefix + name + '.', member, depth + 1);
        else if (member.isArray())
            target[prefix + name] = static_cast<double>(member.size());
        else if (member.isBool())
            target[prefix + name] = member.asBool();
        else if (member.isNumeric())
            target[prefix + name] = member.asDouble();
        else if (member.isString())
            target[prefix + name] = member.asString();
    }
}

} // namespace

row row_from_json(const Json::Value& value)
{
    row result;
    if (value.isObject())
        add_fields(result, "", value, 1);
    return result;
}

std::vector<row> rows_from_json(const Json::Value& list)
{
    std::vector<row> result;
    if (list.isArray())
        for (const Json::Value& item : list)
            if (item.isObject())
                result.push_back(row_from_json(item));
    return result;
}

Json::Value to_json(const cell& value)
{
    if (const auto* const boolean = std::get_if<bool>(&value))
        return *boolean;
    if (const auto* const text = std::get_if<std::string>(&value))
        return *text;
    constexpr double exact_integer_limit = 9'007'199'254'740'992.0;
    const double number = std::get<double>(value);
    if (std::trunc(number) == number && std::abs(number) <= exact_integer_limit)
        return Json::Int64{static_cast<std::int64_t>(number)};
    return number;
}

} // namespace ospreystair::operators
