//! Calls discovery for the endpoint list when the decision module requests it, and forwards the
//! answers.

mod call;

use crate::host_list::HostList;
use crate::messages::{Input, InputSender};
use crate::watch_schedule::{CALL_TIMEOUT, CallTimes, WatchSchedule};
use call::{CallFailure, call};
use load_balancer::Discovery as DiscoveryMode;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep_until};

/// Shortest time from one watch call to the next. Discovery keeps a watch only if the next call
/// comes within 200 ms of the last answer; shorter intervals would call a discovery that answers at
/// once in a tight loop.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// A request of the decision module.
#[derive(Clone, Copy)]
pub enum DiscoveryRequest {
    /// Watch for changes, until a call fails.
    Watch,
    /// Stop watching.
    StopWatch,
    /// Fetch the whole list once.
    Fetch,
}

/// What one address of discovery has answered.
struct HeldList {
    /// The version that is held, if it came from this address.
    version: Cell<Option<u64>>,
    /// When a call was last answered.
    answered_at: Cell<Option<Instant>>,
}

/// Follows the list at one address. It is dropped when discovery moves.
struct ListFollower {
    address: SocketAddr,
    mode: DiscoveryMode,
    held: Rc<HeldList>,
    inputs: InputSender,
    watch_task: Option<AbortHandle>,
    fetch_task: Option<AbortHandle>,
}

impl ListFollower {
    fn new(
        address: SocketAddr,
        mode: DiscoveryMode,
        held_version: Option<u64>,
        inputs: InputSender,
    ) -> Self {
        let held = HeldList {
            version: Cell::new(held_version),
            answered_at: Cell::default(),
        };
        Self {
            address,
            mode,
            held: Rc::new(held),
            inputs,
            watch_task: None,
            fetch_task: None,
        }
    }

    /// Starts watching, unless a watch is running: a second one would only add load. A watch that
    /// has ended has failed.
    fn watch(&mut self, rng: fastrand::Rng) {
        if is_running(&self.watch_task) {
            return;
        }
        let schedule = WatchSchedule::new(self.watch_task.is_some());
        let task = keep_watching(
            self.address,
            self.mode,
            schedule,
            rng,
            Rc::clone(&self.held),
            self.inputs.clone(),
        );
        self.watch_task = Some(spawn_local(task).abort_handle());
    }

    fn stop_watching(&mut self) {
        if let Some(task) = self.watch_task.take() {
            task.abort();
        }
    }

    fn fetch(&mut self) {
        if is_running(&self.fetch_task) {
            return;
        }
        let (address, held, inputs) = (self.address, Rc::clone(&self.held), self.inputs.clone());
        let fetch = async move {
            let times = CallTimes {
                wait: Duration::ZERO,
                timeout: CALL_TIMEOUT,
            };
            let answer = call(address, &mut None, None, times).await;
            held.report(answer, None, times, &inputs);
        };
        self.fetch_task = Some(spawn_local(fetch).abort_handle());
    }
}

impl Drop for ListFollower {
    /// Aborts the calls, so that late answers are ignored.
    fn drop(&mut self) {
        for task in [self.watch_task.take(), self.fetch_task.take()]
            .into_iter()
            .flatten()
        {
            task.abort();
        }
    }
}

fn is_running(task: &Option<AbortHandle>) -> bool {
    task.as_ref().is_some_and(|task| !task.is_finished())
}

/// Handles requests, with at most one watch at a time. If discovery moves, a running watch
/// continues at the new address at once.
pub async fn run(
    mut address: watch::Receiver<SocketAddr>,
    mode: DiscoveryMode,
    cached_version: Option<u64>,
    seed: u64,
    mut requests: mpsc::UnboundedReceiver<DiscoveryRequest>,
    inputs: InputSender,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let start_address = *address.borrow_and_update();
    let mut follower = ListFollower::new(start_address, mode, cached_version, inputs.clone());
    loop {
        tokio::select! {
            biased;
            Ok(()) = address.changed() => {
                let was_watching = follower.watch_task.is_some();
                let new_address = *address.borrow_and_update();
                // The version numbers there may differ, so the whole list is fetched first.
                follower = ListFollower::new(new_address, mode, None, inputs.clone());
                if was_watching {
                    follower.watch(rng.fork());
                }
            }
            request = requests.recv() => match request {
                Some(DiscoveryRequest::Watch) => follower.watch(rng.fork()),
                Some(DiscoveryRequest::StopWatch) => follower.stop_watching(),
                Some(DiscoveryRequest::Fetch) => follower.fetch(),
                None => return,
            },
        }
    }
}

/// Repeats calls until one fails in another way than by a timeout or a refusal; the decision module
/// then requests the next watch.
async fn keep_watching(
    address: SocketAddr,
    mode: DiscoveryMode,
    mut schedule: WatchSchedule,
    mut rng: fastrand::Rng,
    held: Rc<HeldList>,
    inputs: InputSender,
) {
    let mut connection = None;
    loop {
        let earliest_next_call = Instant::now() + MIN_CALL_INTERVAL;
        let after = held.version.get();
        let times = schedule.next_call(after.is_some(), rng.f64());
        let answer = call(address, &mut connection, after, times).await;
        let delay = match &answer {
            Ok(_) => {
                schedule.record_answer();
                Some(Duration::ZERO)
            }
            Err(CallFailure::TimedOut) => {
                schedule.record_timeout();
                Some(Duration::ZERO)
            }
            // Calls to an agent that is sent the list cost nothing, so they are repeated sooner.
            Err(CallFailure::Refused { retry_after, .. }) if mode == DiscoveryMode::OnRequest => {
                Some(schedule.record_refusal(*retry_after, rng.f64()))
            }
            Err(CallFailure::Refused { .. } | CallFailure::Error(_)) => None,
        };
        held.report(answer, after, times, &inputs);
        let Some(delay) = delay else { return };
        sleep_until(earliest_next_call.max(Instant::now() + delay)).await;
    }
}

impl HeldList {
    /// Forwards a failure, or the answer to a call for changes after that version.
    fn report(
        &self,
        answer: Result<HostList, CallFailure>,
        asked_after: Option<u64>,
        times: CallTimes,
        inputs: &InputSender,
    ) {
        let list = match answer {
            Ok(list) => list,
            Err(failure) => {
                let message = self.describe(&failure, asked_after, times);
                return inputs.send(Input::ListFailed(message));
            }
        };
        self.answered_at.set(Some(Instant::now()));
        let current = self.version.get();
        if current != asked_after && current > Some(list.index) {
            // Another call has brought a newer version in the meantime.
            return;
        }
        // Changes up to an earlier version mean that discovery has started over: the versions they
        // are based on are not held here.
        let is_continuous = list.snapshot || asked_after.is_none_or(|after| after <= list.index);
        self.version.set(is_continuous.then_some(list.index));
        inputs.send(Input::EndpointList(list));
    }

    /// Describes a failed call, and for how long the list has not been confirmed.
    fn describe(
        &self,
        failure: &CallFailure,
        asked_after: Option<u64>,
        times: CallTimes,
    ) -> String {
        let call = match asked_after {
            Some(version) => format!(
                "changes after {version}, wait {} ms",
                times.wait.as_millis()
            ),
            None => "whole list".to_owned(),
        };
        let age = match self.answered_at.get() {
            Some(time) => format!("last answered {:.1} s ago", time.elapsed().as_secs_f64()),
            None => "not answered yet".to_owned(),
        };
        format!("{failure} ({call}; {age})")
    }
}
