/// @file
/// Basic types shared by all libraries: time, spans and identifiers.
#pragma once

#include <chrono>
#include <cstdint>
#include <gsl/span>
#include <string>
#include <tuple>

namespace bamboowing {

/// A length of time, in microseconds.
using duration = std::chrono::microseconds;

/// A point on the clock of one process that clock.h defines. Decision libraries receive it as an argument and never
/// read a clock, so that tests and benchmarks can drive them in virtual time.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A non-owning view of contiguous elements.
template <typename T>
using span = gsl::span<T>;

/// Distinguishes successive incarnations of a process with the same id. Chosen at random when the process starts; never
/// 0.
using incarnation_id = std::uint64_t;

/// Version of the operators' configuration document; 0 if no version is known.
using config_version = std::uint64_t;

/// Leadership term of a shard; increases with every change of leader. 0 if no leader is known.
using epoch = std::uint64_t;

/// Identifies an agent's session with an entry. Never reused while the entry's process runs.
using session_id = std::uint64_t;

/// Identifies a caller's HTTP call. Never reused while the process runs.
using call_id = std::uint64_t;

/// Identifies a shard: one part of the work of a service, dispatched by one entry.
struct shard_id {
  std::string service;
  std::uint32_t index = 0;

  friend bool operator==(const shard_id& a, const shard_id& b) { return a.service == b.service && a.index == b.index; }
  friend bool operator!=(const shard_id& a, const shard_id& b) { return !(a == b); }
  friend bool operator<(const shard_id& a, const shard_id& b) {
    return std::tie(a.service, a.index) < std::tie(b.service, b.index);
  }
};

/// Identifies one start of one task. Every start, answer and refusal carries it.
struct task_key {
  std::string job_id;
  std::uint32_t task = 0;     ///< index of the task in its job, from 0
  std::uint32_t attempt = 0;  ///< increases only after a refusal that proves that the task was not started

  friend bool operator==(const task_key& a, const task_key& b) {
    return a.task == b.task && a.attempt == b.attempt && a.job_id == b.job_id;
  }
  friend bool operator<(const task_key& a, const task_key& b) {
    return std::tie(a.job_id, a.task, a.attempt) < std::tie(b.job_id, b.task, b.attempt);
  }
};

}  // namespace bamboowing
