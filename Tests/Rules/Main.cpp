/// \file
/// Entry point of the tests of the Rules package.

#define BOOST_TEST_MODULE Rules
#include <boost/test/unit_test.hpp>
