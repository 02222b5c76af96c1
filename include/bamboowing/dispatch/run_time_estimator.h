/// @file
/// Expected work of a task, learned from earlier tasks with similar declarations.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "bamboowing/base/types.h"
#include "bamboowing/message/job.h"

namespace bamboowing {

/// Expected work of a task, in microseconds.
struct work_estimate {
  double mean_us = 0;
  double deviation_us = 0;  ///< standard deviation of the work of tasks with this declaration
};

/// Learns the mean work of tasks by team and declaration.
///
/// Declared run times (or sizes when no run time is declared) are divided into classes of half an octave. The mean of
/// each class corrects declared times that are biased in any way, and gives the same value for all classes when the
/// declarations carry no information. A class with few observations leans on its neighbours, a team with few
/// observations on all teams.
///
/// Work is the run time on a target of mean speed, in microseconds.
class run_time_estimator {
 public:
  /// @param first_guess work assumed when nothing is declared and nothing was learned.
  run_time_estimator(std::uint32_t max_teams, duration default_run_time);

  /// Class of the declaration of @p task.
  static std::uint8_t DeclarationClass(const task_spec& task);

  /// Expected work of a task of @p team (below max_teams).
  work_estimate Estimate(std::uint32_t team, std::uint8_t declaration_class) const;

  /// Records the work of an answered task.
  void Observe(std::uint32_t team, std::uint8_t declaration_class, double work_us);

  static constexpr int kClasses = 128;

 private:
  struct class_stats {
    std::array<float, kClasses> count{};
    std::array<float, kClasses> sum{};
    std::array<float, kClasses> squares{};
  };
  struct moments {
    double mean = 0;
    double square = 0;
  };

  static moments PosteriorMoments(const class_stats& learned, int declaration_class, moments prior,
                                  double prior_weight);
  double DeclaredWork(int declaration_class) const;
  static void RecordObservation(class_stats& learned, int declaration_class, double work_us);

  double default_run_time_us_;
  class_stats all_teams_;
  std::vector<class_stats> teams_;
};

}  // namespace bamboowing
