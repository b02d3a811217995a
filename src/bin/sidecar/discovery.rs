//! Calls discovery for the endpoint list when the decision module requests it, and forwards the
//! answers.

mod call;
mod held_list;

use crate::message_memory::MemoryShare;
use crate::messages::InputSender;
use crate::watch_schedule::{CALL_TIMEOUT, CallTimes, WatchSchedule};
use call::{AgentConnection, CallFailure};
use held_list::HeldList;
use load_balancer::Discovery as DiscoveryMode;
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

/// Follows the list at one address. It is dropped when discovery moves.
struct ListFollower {
    address: SocketAddr,
    mode: DiscoveryMode,
    held: Rc<HeldList>,
    inputs: InputSender,
    memory: MemoryShare,
    watch_task: Option<AbortHandle>,
    fetch_task: Option<AbortHandle>,
}

impl ListFollower {
    fn new(
        address: SocketAddr,
        mode: DiscoveryMode,
        held_version: Option<u64>,
        inputs: InputSender,
        memory: MemoryShare,
    ) -> Self {
        Self {
            address,
            mode,
            held: Rc::new(HeldList::new(held_version)),
            inputs,
            memory,
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
            AgentConnection::new(self.address, self.memory.clone()),
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
        let mut agent = AgentConnection::new(self.address, self.memory.clone());
        let (held, inputs) = (Rc::clone(&self.held), self.inputs.clone());
        let fetch = async move {
            let times = CallTimes {
                wait: Duration::ZERO,
                timeout: CALL_TIMEOUT,
            };
            let answer = agent.call(None, times).await;
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
    memory: MemoryShare,
    mut requests: mpsc::UnboundedReceiver<DiscoveryRequest>,
    inputs: InputSender,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let start_address = *address.borrow_and_update();
    let mut follower = ListFollower::new(
        start_address,
        mode,
        cached_version,
        inputs.clone(),
        memory.clone(),
    );
    loop {
        tokio::select! {
            biased;
            Ok(()) = address.changed() => {
                let was_watching = follower.watch_task.is_some();
                let new_address = *address.borrow_and_update();
                // The version numbers there may differ, so the whole list is fetched first.
                follower = ListFollower::new(new_address, mode, None, inputs.clone(), memory.clone());
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
    mut agent: AgentConnection,
    mode: DiscoveryMode,
    mut schedule: WatchSchedule,
    mut rng: fastrand::Rng,
    held: Rc<HeldList>,
    inputs: InputSender,
) {
    loop {
        let earliest_next_call = Instant::now() + MIN_CALL_INTERVAL;
        let after = held.version();
        let times = schedule.next_call(after.is_some(), rng.f64());
        let answer = agent.call(after, times).await;
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
