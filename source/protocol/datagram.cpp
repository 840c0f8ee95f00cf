// Names of member states.

#include "protocol/datagram.hpp"

namespace ospreystair::protocol
{

std::string_view to_string(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::failed:
        return "failed";
    case member_state::left:
        return "left";
    }
    return "failed";
}

} // namespace ospreystair::protocol
