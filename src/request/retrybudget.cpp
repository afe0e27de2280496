#include "request/retrybudget.h"

#include <algorithm>

namespace cassiaroad {

void RetryBudget::countRequest()
{
    this->credit = std::min<std::int64_t>(this->credit + this->percent, maxCredit);
}

bool RetryBudget::take()
{
    if (this->credit < retryCost) {
        return false;
    }
    this->credit -= retryCost;
    return true;
}

} // namespace cassiaroad
