#ifndef CONNECTION_IO_STRAND_H_
#define CONNECTION_IO_STRAND_H_

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>

namespace mangodoor {

// The types below name a concrete executor. Asio's default types use a
// type-erased one: copying the type-erased executor, and the second strand that
// spawn() puts around it, took a quarter of the processor time of a request.

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

/** The yield context of a coroutine that runs on a Strand. */
using YieldContext = boost::asio::basic_yield_context<
    boost::asio::executor_binder<void (*)(), Strand>>;

using StrandTimer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>,
    Strand>;

using CallerSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

/**
 * Not bound to a strand, since sessions with different strands use the same
 * socket one after another.
 */
using BackendSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                     boost::asio::io_context::executor_type>;

}  // namespace mangodoor

#endif  // CONNECTION_IO_STRAND_H_
