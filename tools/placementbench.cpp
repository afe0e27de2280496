// Compares the placement policies on the workloads of both users: imbalance, churn (keys moved) and
// unavailable time.

#include "placement/evaluation.h"

#include <cstdio>
#include <cstring>
#include <fstream>

#include <getopt.h>

using namespace cassiaroad;
using namespace cassiaroad::placement;

namespace {

constexpr double quickDuration = 6 * 3600;

/** Weights of the three measures in the score of a user; they add up to 1. */
struct ScoreWeights
{
    double imbalance = 0.0;
    double churn = 0.0;
    double unavailability = 0.0;
};

/** Workload and score weights of one user. */
struct User
{
    WorkloadSettings workload;
    ScoreWeights weights;
};

/** One line of the output. */
struct Row
{
    std::string workload;
    std::string policy;
    Score score;
    double weighted = 0.0; // relative to the greedy baseline; lower is better
};

std::vector<Policy> policiesFor(const WorkloadSettings &settings)
{
    const Workload workload(settings);
    const PlacementWeights weights;
    return { ModuloPolicy(),
             RendezvousPolicy(),
             BoundedLoadPolicy(),
             GreedyPolicy(),
             ShardsOnlyPolicy(weights, workload.keysPerShard()),
             CassiaroadPolicy(weights, workload.keysPerShard()) };
}

double unavailableKeySeconds(const Score &score)
{
    return score.lossKeySeconds + score.plannedKeySeconds;
}

double weightedScore(const Score &score, const Score &base, const ScoreWeights &weights)
{
    return weights.imbalance * (score.imbalanceMean - 1) / (base.imbalanceMean - 1)
           + weights.churn * static_cast<double>(score.keysMoved)
                     / static_cast<double>(base.keysMoved)
           + weights.unavailability * unavailableKeySeconds(score) / unavailableKeySeconds(base);
}

std::vector<Row> evaluateUser(const User &user)
{
    std::vector<Row> rows;
    Score greedy;
    for (const Policy &policy : policiesFor(user.workload)) {
        rows.push_back({ user.workload.name, nameOf(policy), evaluate(user.workload, policy) });
        if (std::holds_alternative<GreedyPolicy>(policy)) {
            greedy = rows.back().score;
        }
    }
    for (Row &row : rows) {
        row.weighted = weightedScore(row.score, greedy, user.weights);
    }
    return rows;
}

void print(const std::vector<Row> &rows)
{
    std::printf("%-14s %-13s %9s %9s %10s %8s %8s %12s %12s %8s\n", "workload", "policy",
                "imb.mean", "imb.p99", "keys", "shards", "single", "loss key*s", "plan key*s",
                "score");
    for (const Row &row : rows) {
        const Score &score = row.score;
        std::printf("%-14s %-13s %9.3f %9.3f %10lu %8lu %8lu %12.0f %12.0f %8.3f\n",
                    row.workload.c_str(), row.policy.c_str(), score.imbalanceMean,
                    score.imbalanceP99, score.keysMoved, score.shardMoves, score.keyMoves,
                    score.lossKeySeconds, score.plannedKeySeconds, row.weighted);
    }
}

void writeCsv(const std::string &path, const std::vector<Row> &rows)
{
    std::ofstream file(path);
    file << "workload,policy,imbalance_mean,imbalance_p99,keys_moved,shard_moves,key_moves,"
            "loss_key_seconds,planned_key_seconds,weighted_score\n";
    for (const Row &row : rows) {
        file << row.workload << ',' << row.policy << ',' << row.score.imbalanceMean << ','
             << row.score.imbalanceP99 << ',' << row.score.keysMoved << ',' << row.score.shardMoves
             << ',' << row.score.keyMoves << ',' << row.score.lossKeySeconds << ','
             << row.score.plannedKeySeconds << ',' << row.weighted << '\n';
    }
}

void printCost(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        std::printf("cost %-14s %-13s %.3f s of processor time\n", row.workload.c_str(),
                    row.policy.c_str(), row.score.policySeconds);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const option options[] = { { "quick", no_argument, nullptr, 'q' },
                               { "csv", required_argument, nullptr, 'c' },
                               { "cost", no_argument, nullptr, 't' },
                               { nullptr, 0, nullptr, 0 } };
    bool quick = false;
    bool cost = false;
    std::string csv;
    for (int chosen; (chosen = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        quick |= chosen == 'q';
        cost |= chosen == 't';
        csv = chosen == 'c' ? optarg : csv;
        if (chosen == '?') {
            std::fprintf(stderr, "usage: placementbench [--quick] [--cost] [--csv FILE]\n");
            return 2;
        }
    }
    User users[] = { { eventWeekend(), { 0.25, 0.25, 0.5 } }, { peakWeek(), { 0.25, 0.5, 0.25 } } };
    std::vector<Row> rows;
    for (User &user : users) {
        user.workload.duration = quick ? quickDuration : user.workload.duration;
        const std::vector<Row> part = evaluateUser(user);
        rows.insert(rows.end(), part.begin(), part.end());
    }
    print(rows);
    if (cost) {
        printCost(rows);
    }
    if (!csv.empty()) {
        writeCsv(csv, rows);
    }
    return 0;
}
