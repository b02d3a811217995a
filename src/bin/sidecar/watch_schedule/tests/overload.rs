//! Many processes at a discovery that refuses calls beyond what it can do.

use super::*;

/// A discovery that does a limited amount of work, as units of calls that it admits; a call that it
/// refuses costs a fraction of one.
struct OverloadedDiscovery {
    admitted_per_second: f64,
    admitted_at_once: f64,
    refusal_cost: f64,
    backlog: f64,
    last_call: Duration,
}

impl OverloadedDiscovery {
    /// One that could admit that many calls within half of the deadline of changes, a quarter of them
    /// at once, if no refused call cost it anything.
    fn for_calls(calls: usize) -> Self {
        let calls = calls as f64;
        Self {
            admitted_per_second: calls * 0.75 / (CHANGE_DEADLINE / 2).as_secs_f64(),
            admitted_at_once: (calls / 4.0).max(1.0),
            refusal_cost: 1.0 / 20.0,
            backlog: 0.0,
            last_call: Duration::ZERO,
        }
    }

    /// Whether it admits a call at that time; times do not decrease.
    fn admits(&mut self, now: Duration) -> bool {
        let done = (now - self.last_call).as_secs_f64() * self.admitted_per_second;
        self.last_call = now;
        self.backlog = (self.backlog - done).max(0.0);
        let is_admitted = self.backlog + 1.0 <= self.admitted_at_once.max(1.0);
        self.backlog += if is_admitted { 1.0 } else { self.refusal_cost };
        is_admitted
    }
}

/// Lets processes call an overloaded discovery, all at the same time at first, until each has a
/// watch; a process without a version fetches the whole list before. Returns the longest time that
/// one was without an admitted call.
fn longest_time_without_list(
    processes: usize,
    after_failure: bool,
    holds: bool,
    seed: u64,
) -> Duration {
    let mut random = fastrand::Rng::with_seed(seed);
    // One without a wait, which opens no watch, comes before the watch otherwise.
    let calls_each = if holds && !after_failure { 1 } else { 2 };
    let mut discovery = OverloadedDiscovery::for_calls(calls_each * processes);
    let mut states: Vec<_> = (0..processes)
        .map(|_| (WatchSchedule::new(after_failure), holds, Duration::ZERO))
        .collect();
    let mut calls: BTreeSet<_> = (0..processes)
        .map(|process| (Duration::from_micros(random.u64(0..1000)), process))
        .collect();
    let mut longest = Duration::ZERO;
    while let Some((now, process)) = calls.pop_first() {
        let (schedule, holds_version, last_admitted) = &mut states[process];
        longest = longest.max(now - *last_admitted);
        if longest > CHANGE_DEADLINE {
            return longest;
        }
        let call = schedule.next_call(*holds_version, random.f64());
        let next = if !discovery.admits(now) {
            now + schedule.record_refusal(None, random.f64())
        } else if call.wait > Duration::ZERO {
            // The watch goes on without being admitted again.
            continue;
        } else {
            schedule.record_answer();
            (*holds_version, *last_admitted) = (true, now);
            now + Duration::from_millis(50)
        };
        calls.insert((next, process));
    }
    longest
}

// Processes that call together are refused together: at a start with a list, after an outage, at a
// start or a reload without a list. A change is missed by those that have no watch.
#[test]
fn all_of_many_processes_get_their_watch_from_an_overloaded_discovery_in_time() {
    for processes in [1, 2, 5, 32, 100, 300, 900] {
        for seed in 0..20 {
            for (after_failure, holds) in [(false, true), (true, true), (false, false)] {
                let longest = longest_time_without_list(processes, after_failure, holds, seed);
                assert!(
                    longest <= CHANGE_DEADLINE,
                    "{processes} processes, after a failure: {after_failure}, with a list: {holds}, \
                     seed {seed}: {longest:?}"
                );
            }
        }
    }
}
