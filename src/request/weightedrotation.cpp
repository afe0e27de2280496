#include "request/weightedrotation.h"

namespace cassiaroad {

const std::string &WeightedRotation::next(const std::vector<WeightedService> &parts)
{
    if (parts.size() == 1) {
        return parts.front().service;
    }
    double sum = 0.0;
    const WeightedService *best = nullptr;
    double bestCredit = 0.0;
    for (const WeightedService &part : parts) {
        if (part.weight <= 0.0) {
            continue;
        }
        sum += part.weight;
        const double credit = this->credit[part.service] += part.weight;
        if (best == nullptr || credit > bestCredit) {
            best = &part;
            bestCredit = credit;
        }
    }
    this->credit[best->service] -= sum;
    return best->service;
}

} // namespace cassiaroad
