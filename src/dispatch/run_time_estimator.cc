#include "bamboowing/dispatch/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace bamboowing {
namespace {

// Class 0: nothing declared. Classes 1 to 63: declared run time, two for each octave from 0.5 ms. Classes 64 to 127:
// declared size, one for each octave.
constexpr int kFirstSizeClass = 64;
constexpr double kMinDeclaredUs = 500;

// The weight of a neighbouring class halves with each class of distance; beyond this distance it is negligible.
constexpr int kMaxClassDistance = 6;
constexpr std::array<double, kMaxClassDistance + 1> kClassDistanceWeights = {1,        1.0 / 2,  1.0 / 4, 1.0 / 8,
                                                                             1.0 / 16, 1.0 / 32, 1.0 / 64};
// Number of observations that each prior counts as: the neighbouring classes, all teams, and the declaration itself.
constexpr double kNeighbourPriorCount = 4;
constexpr double kAllTeamsPriorCount = 4;
constexpr double kDeclarationPriorCount = 0.5;
// Older observations decay: the sums of a class are halved when it reaches this count.
constexpr float kDecayCount = 512;

bool SameKind(int a, int b) { return a != 0 && b != 0 && (a < kFirstSizeClass) == (b < kFirstSizeClass); }

}  // namespace

run_time_estimator::run_time_estimator(std::uint32_t max_teams, duration default_run_time)
    : default_run_time_us_(static_cast<double>(default_run_time.count())), teams_(max_teams) {}

std::uint8_t run_time_estimator::DeclarationClass(const task_spec& task) {
  if (task.declared_run_time && task.declared_run_time->count() > 0) {
    const double octaves = std::log2(static_cast<double>(task.declared_run_time->count()) / kMinDeclaredUs);
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
  const moments of_all = PosteriorMoments(all_teams_, declaration_class, first, kDeclarationPriorCount);
  const moments of_team = PosteriorMoments(teams_[team], declaration_class, of_all, kAllTeamsPriorCount);
  const double variance = std::max(0.0, of_team.square - of_team.mean * of_team.mean);
  return {of_team.mean, std::sqrt(variance)};
}

void run_time_estimator::Observe(std::uint32_t team, std::uint8_t declaration_class, double work_us) {
  RecordObservation(all_teams_, declaration_class, work_us);
  RecordObservation(teams_[team], declaration_class, work_us);
}

run_time_estimator::moments run_time_estimator::PosteriorMoments(const class_stats& stats, int declaration_class,
                                                                 moments prior, double prior_weight) {
  double count = prior_weight;
  double sum = prior_weight * prior.mean;
  double squares = prior_weight * prior.square;
  const int first = std::max(0, declaration_class - kMaxClassDistance);
  const int last = std::min(kClasses - 1, declaration_class + kMaxClassDistance);
  for (int other = first; other <= last; ++other) {
    if (SameKind(other, declaration_class)) {
      const double weight = kClassDistanceWeights[std::abs(other - declaration_class)];
      count += weight * stats.count[other];
      sum += weight * stats.sum[other];
      squares += weight * stats.squares[other];
    }
  }
  const double own_count = stats.count[declaration_class] + kNeighbourPriorCount;
  return {(stats.sum[declaration_class] + kNeighbourPriorCount * sum / count) / own_count,
          (stats.squares[declaration_class] + kNeighbourPriorCount * squares / count) / own_count};
}

double run_time_estimator::DeclaredWork(int declaration_class) const {
  if (declaration_class == 0 || declaration_class >= kFirstSizeClass) {
    return default_run_time_us_;
  }
  return kMinDeclaredUs * std::exp2((declaration_class - 0.5) / 2);
}

void run_time_estimator::RecordObservation(class_stats& stats, int declaration_class, double work_us) {
  float& count = stats.count[declaration_class];
  float& sum = stats.sum[declaration_class];
  float& squares = stats.squares[declaration_class];
  if (count >= kDecayCount) {
    count /= 2;
    sum /= 2;
    squares /= 2;
  }
  count += 1;
  sum += static_cast<float>(work_us);
  squares += static_cast<float>(work_us * work_us);
}

}  // namespace bamboowing
