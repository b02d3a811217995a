//! Calls discovery for the endpoint list when the decision module requests it, and forwards the
//! answers.

mod call;

use crate::host_list::HostList;
use crate::messages::{Input, InputSender};
use crate::watch_schedule::{CALL_TIMEOUT, CallTimes, WatchSchedule};
use call::{CallFailure, call};
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

/// Follows the list at one address. It is dropped when discovery moves.
struct ListFollower {
    address: SocketAddr,
    /// The version that is held, if it came from this address.
    held_version: Rc<Cell<Option<u64>>>,
    inputs: InputSender,
    watch_task: Option<AbortHandle>,
    fetch_task: Option<AbortHandle>,
}

impl ListFollower {
    fn new(address: SocketAddr, held_version: Option<u64>, inputs: InputSender) -> Self {
        Self {
            address,
            held_version: Rc::new(Cell::new(held_version)),
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
            schedule,
            rng,
            Rc::clone(&self.held_version),
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
        let (address, held_version, inputs) = (
            self.address,
            Rc::clone(&self.held_version),
            self.inputs.clone(),
        );
        let fetch = async move {
            let times = CallTimes {
                wait: Duration::ZERO,
                timeout: CALL_TIMEOUT,
            };
            let answer = call(address, &mut None, None, times).await;
            report_answer(answer, None, &held_version, &inputs);
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
    cached_version: Option<u64>,
    seed: u64,
    mut requests: mpsc::UnboundedReceiver<DiscoveryRequest>,
    inputs: InputSender,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let start_address = *address.borrow_and_update();
    let mut follower = ListFollower::new(start_address, cached_version, inputs.clone());
    loop {
        tokio::select! {
            biased;
            Ok(()) = address.changed() => {
                let was_watching = follower.watch_task.is_some();
                let new_address = *address.borrow_and_update();
                // The version numbers there may differ, so the whole list is fetched first.
                follower = ListFollower::new(new_address, None, inputs.clone());
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

/// Repeats calls until one fails; the decision module then requests the next watch.
async fn keep_watching(
    address: SocketAddr,
    mut schedule: WatchSchedule,
    mut rng: fastrand::Rng,
    held_version: Rc<Cell<Option<u64>>>,
    inputs: InputSender,
) {
    let mut connection = None;
    loop {
        let next_call = Instant::now() + MIN_CALL_INTERVAL;
        let after = held_version.get();
        let answer = call(
            address,
            &mut connection,
            after,
            schedule.next_call(after.is_some(), rng.f64()),
        )
        .await;
        let continues = match &answer {
            Ok(_) => {
                schedule.record_answer();
                true
            }
            Err(CallFailure::TimedOut) => {
                schedule.record_timeout();
                true
            }
            Err(CallFailure::Error(_)) => false,
        };
        report_answer(answer, after, &held_version, &inputs);
        if !continues {
            return;
        }
        sleep_until(next_call).await;
    }
}

/// Forwards a failure, or the answer to a call for changes after that version.
fn report_answer(
    answer: Result<HostList, CallFailure>,
    asked_after: Option<u64>,
    held_version: &Cell<Option<u64>>,
    inputs: &InputSender,
) {
    match answer {
        Ok(list) => {
            let current = held_version.get();
            if current != asked_after && current > Some(list.index) {
                // Another call has brought a newer version in the meantime.
                return;
            }
            // Changes up to an earlier version mean that discovery has started over: the versions
            // they are based on are not held here.
            let is_continuous =
                list.snapshot || asked_after.is_none_or(|after| after <= list.index);
            held_version.set(is_continuous.then_some(list.index));
            inputs.send(Input::EndpointList(list));
        }
        Err(CallFailure::TimedOut) => inputs.send(Input::ListFailed("no answer".to_owned())),
        Err(CallFailure::Error(message)) => inputs.send(Input::ListFailed(message)),
    }
}
