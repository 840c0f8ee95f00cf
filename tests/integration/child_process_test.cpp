// The runner of child processes itself.

#include <array>

#include <gtest/gtest.h>

#include "http/asio.hpp"
#include "tests/integration/child_process.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

// Guards against a test client whose closed connection stays open in a process that was started
// meanwhile: the soak reported work for callers that had left, of whose departure no VM could know.
TEST(child_process_test, connection_closed_after_the_start_of_a_child_ends_for_the_other_side)
{
    http::asio::io_context context;
    http::tcp::acceptor acceptor(context, {http::asio::ip::make_address("127.0.0.1"), 0});
    http::tcp::socket client(context);
    client.connect(acceptor.local_endpoint());
    http::tcp::socket server = acceptor.accept();
    child_process child("/bin/sleep", {"30"}, testing::TempDir() + "child_process_test.log");
    client.close();
    server.non_blocking(true);
    const auto has_ended = [&server]
    {
        std::array<char, 1> byte{};
        boost::system::error_code code;
        server.read_some(boost::asio::buffer(byte), code);
        return code == boost::asio::error::eof;
    };
    EXPECT_TRUE(wait_until(2s, has_ended));
}

} // namespace
} // namespace ospreystair::testing_support
