#include "bamboowing/dispatch/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace bamboowing {
namespace {

// Class 0: nothing declared. Classes 1 to 63: declared run time, two for each octave from 0.5 ms. Classes 64 to 127:
// declared size, one for each octave.
constexpr int kFirstSizeClass = 64;
constexpr double kShortestDeclaredUs = 500;

// Neighbours count half as much with each class of distance; beyond this distance they hardly count.
constexpr int kReach = 6;
constexpr std::array<double, kReach + 1> kNeighbourShare = {1, 1.0 / 2, 1.0 / 4, 1.0 / 8, 1.0 / 16, 1.0 / 32, 1.0 / 64};
// Observations that the neighbours, all teams and the declaration itself are worth.
constexpr double kNeighbourWeight = 4;
constexpr double kAllTeamsWeight = 4;
constexpr double kDeclarationWeight = 0.5;
// Older observations fade: a class is halved when it reaches this count.
constexpr float kMemory = 512;

bool SameKind(int a, int b) { return a != 0 && b != 0 && (a < kFirstSizeClass) == (b < kFirstSizeClass); }

}  // namespace

run_time_estimator::run_time_estimator(std::uint32_t max_teams, duration first_guess)
    : first_guess_us_(static_cast<double>(first_guess.count())), teams_(max_teams) {}

std::uint8_t run_time_estimator::DeclarationClass(const task_spec& task) {
  if (task.declared_run_time && task.declared_run_time->count() > 0) {
    const double octaves = std::log2(static_cast<double>(task.declared_run_time->count()) / kShortestDeclaredUs);
    return static_cast<std::uint8_t>(1 + std::clamp(static_cast<int>(2 * octaves), 0, kFirstSizeClass - 2));
  }
  if (task.input_size > 0) {
    return static_cast<std::uint8_t>(kFirstSizeClass +
                                     static_cast<int>(std::log2(static_cast<double>(task.input_size))));
  }
  return 0;
}

work_estimate run_time_estimator::Estimate(std::uint32_t team, std::uint8_t declaration_class) const {
  const double declared = DeclaredWork(declaration_class);
  const moments first = {declared, 2 * declared * declared};
  const moments of_all = MomentsFrom(all_, declaration_class, first, kDeclarationWeight);
  const moments of_team = MomentsFrom(teams_[team], declaration_class, of_all, kAllTeamsWeight);
  const double variance = std::max(0.0, of_team.square - of_team.mean * of_team.mean);
  return {of_team.mean, std::sqrt(variance)};
}

void run_time_estimator::Observe(std::uint32_t team, std::uint8_t declaration_class, double work_us) {
  Record(all_, declaration_class, work_us);
  Record(teams_[team], declaration_class, work_us);
}

run_time_estimator::moments run_time_estimator::MomentsFrom(const table& learned, int declaration_class, moments prior,
                                                            double prior_weight) {
  double count = prior_weight;
  double sum = prior_weight * prior.mean;
  double squares = prior_weight * prior.square;
  const int first = std::max(0, declaration_class - kReach);
  const int last = std::min(kClasses - 1, declaration_class + kReach);
  for (int other = first; other <= last; ++other) {
    if (SameKind(other, declaration_class)) {
      const double weight = kNeighbourShare[std::abs(other - declaration_class)];
      count += weight * learned.count[other];
      sum += weight * learned.sum[other];
      squares += weight * learned.squares[other];
    }
  }
  const double own_count = learned.count[declaration_class] + kNeighbourWeight;
  return {(learned.sum[declaration_class] + kNeighbourWeight * sum / count) / own_count,
          (learned.squares[declaration_class] + kNeighbourWeight * squares / count) / own_count};
}

double run_time_estimator::DeclaredWork(int declaration_class) const {
  if (declaration_class == 0 || declaration_class >= kFirstSizeClass) {
    return first_guess_us_;
  }
  return kShortestDeclaredUs * std::exp2((declaration_class - 0.5) / 2);
}

void run_time_estimator::Record(table& learned, int declaration_class, double work_us) {
  float& count = learned.count[declaration_class];
  float& sum = learned.sum[declaration_class];
  float& squares = learned.squares[declaration_class];
  if (count >= kMemory) {
    count /= 2;
    sum /= 2;
    squares /= 2;
  }
  count += 1;
  sum += static_cast<float>(work_us);
  squares += static_cast<float>(work_us * work_us);
}

}  // namespace bamboowing
