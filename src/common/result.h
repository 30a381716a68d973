#ifndef COMMON_RESULT_H_
#define COMMON_RESULT_H_

// The order matters: in Boost 1.81 the policy headers need result.hpp before them.
// clang-format off
#include <boost/outcome/result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
// clang-format on

namespace geraniumspread {

// A value or a typed error. Access is unchecked: test before use.
template <typename T, typename Error>
using ResultOf =
    BOOST_OUTCOME_V2_NAMESPACE::result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

}  // namespace geraniumspread

#endif  // COMMON_RESULT_H_
