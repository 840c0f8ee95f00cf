// Semantic actions shared by the grammars of the operators' languages. Included only in files that
// define a grammar, because Boost.Spirit X3 compiles slowly.

#ifndef OSPREYSTAIR_CONFIGURATION_GRAMMAR_ACTIONS_HPP
#define OSPREYSTAIR_CONFIGURATION_GRAMMAR_ACTIONS_HPP

#include <boost/spirit/home/x3.hpp>

namespace ospreystair::configuration
{

/// Sets a member of the rule's value to the matched attribute.
template<class Owner, class Value>
auto set(Value Owner::*member)
{
    return [member](auto& context)
    {
        boost::spirit::x3::_val(context).*member = boost::spirit::x3::_attr(context);
    };
}

/// Sets the rule's value to the matched attribute.
inline auto assign_value()
{
    return [](auto& context)
    {
        boost::spirit::x3::_val(context) = boost::spirit::x3::_attr(context);
    };
}

} // namespace ospreystair::configuration

#endif
