#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "ideal.h"
#include "overrides.h"
#include "report.h"
#include "simulation.h"

namespace bamboowing::bench {
namespace {

struct run_options {
  std::uint64_t seed = 1;
  std::uint32_t seeds = 1;
  std::uint32_t jobs = 0;
  std::uint32_t threads = 1;
  std::string case_filter;
  std::string json_path;
  std::vector<std::string> policies;
  dispatch_settings dispatcher_settings;
};

// Runs all policies of one case on the traces of all seeds.
std::vector<policy_metrics> RunCase(const bench_case& scenario, const run_options& options) {
  std::vector<std::vector<policy_metrics>> runs(options.policies.size());
  const std::uint32_t targets = static_cast<std::uint32_t>(TargetSpeeds().size());
  for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
    const std::vector<bench_job> trace = MakeTrace(scenario, seed, options.jobs);
    const std::vector<duration> shortest = IdealResponses(trace, ideal_order::kShortest);
    const std::vector<duration> arrival = IdealResponses(trace, ideal_order::kArrival);
    for (std::size_t i = 0; i < options.policies.size(); ++i) {
      const std::unique_ptr<dispatch_policy> policy =
          MakePolicy(options.policies[i], options.dispatcher_settings, targets, seed);
      const simulation_result run = RunPolicy(scenario, trace, *policy, seed);
      runs[i].push_back(ComputeMetrics(scenario, options.policies[i], trace, run, shortest, arrival));
    }
  }
  std::vector<policy_metrics> result;
  result.reserve(runs.size());
  for (const std::vector<policy_metrics>& policy_runs : runs) {
    result.push_back(Average(policy_runs));
  }
  return result;
}

std::vector<bench_case> SelectedCases(const std::string& filter) {
  std::vector<bench_case> cases;
  for (const bench_case& scenario : AllCases()) {
    if (scenario.name.find(filter) != std::string::npos) {
      cases.push_back(scenario);
    }
  }
  return cases;
}

std::vector<policy_metrics> RunAll(const run_options& options) {
  const std::vector<bench_case> cases = SelectedCases(options.case_filter);
  std::vector<std::vector<policy_metrics>> results(cases.size());
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t i = next++; i < cases.size(); i = next++) {
      results[i] = RunCase(cases[i], options);
    }
  };
  std::vector<std::thread> threads;
  for (std::uint32_t i = 0; i < options.threads; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::vector<policy_metrics> all;
  for (const std::vector<policy_metrics>& case_metrics : results) {
    all.insert(all.end(), case_metrics.begin(), case_metrics.end());
  }
  return all;
}

void Report(const run_options& options, const std::vector<policy_metrics>& all) {
  nlohmann::json document = {{"seed", options.seed}, {"seeds", options.seeds}, {"jobs", options.jobs}};
  std::cout << TableHeader() << '\n';
  for (const policy_metrics& metrics : all) {
    std::cout << TableRow(metrics) << '\n';
    document["figures"].push_back(ToJson(metrics));
  }
  if (!options.json_path.empty()) {
    std::ofstream(options.json_path) << document.dump(1) << '\n';
  }
}

int Main(int argc, char** argv) {
  cxxopts::Options parser("policy_bench", "Compares the dispatcher with baselines and ideals in virtual time.");
  parser.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
  parser.add_options()("seeds", "number of seeds to average", cxxopts::value<std::uint32_t>()->default_value("2"));
  parser.add_options()("jobs", "jobs in each run", cxxopts::value<std::uint32_t>()->default_value("4000"));
  parser.add_options()("threads", "cases run at the same time", cxxopts::value<std::uint32_t>()->default_value("4"));
  parser.add_options()("case", "run only the cases whose name contains this",
                       cxxopts::value<std::string>()->default_value(""));
  parser.add_options()("policy", "run only this policy", cxxopts::value<std::string>()->default_value(""));
  parser.add_options()("set", "settings of the dispatcher, for example work_share=4,hold_back=0",
                       cxxopts::value<std::vector<std::string>>()->default_value(""));
  parser.add_options()("json", "file for the metrics as JSON", cxxopts::value<std::string>()->default_value(""));
  parser.add_options()("help", "print this text");
  const cxxopts::ParseResult parsed = parser.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << parser.help();
    return 0;
  }
  run_options options;
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.seeds = std::max(1U, parsed["seeds"].as<std::uint32_t>());
  options.jobs = parsed["jobs"].as<std::uint32_t>();
  options.threads = std::max(1U, parsed["threads"].as<std::uint32_t>());
  options.case_filter = parsed["case"].as<std::string>();
  options.json_path = parsed["json"].as<std::string>();
  const std::string policy = parsed["policy"].as<std::string>();
  options.policies = policy.empty() ? PolicyNames() : std::vector<std::string>{policy};
  for (const std::string& text : parsed["set"].as<std::vector<std::string>>()) {
    if (!text.empty()) {
      ApplyOverride(text, options.dispatcher_settings);
    }
  }
  Report(options, RunAll(options));
  return 0;
}

}  // namespace
}  // namespace bamboowing::bench

int main(int argc, char** argv) {
  try {
    return bamboowing::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "policy_bench: " << error.what() << '\n';
    return 2;
  }
}
