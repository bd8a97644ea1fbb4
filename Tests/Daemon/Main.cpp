/// \file
/// The test program's main function.

#define BOOST_TEST_MODULE Daemon
#include <boost/test/unit_test.hpp>
