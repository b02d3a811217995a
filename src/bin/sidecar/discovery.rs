//! Calls discovery for the endpoint list when the decision module says so, and passes on its
//! answers.

mod call;

use crate::host_list::HostList;
use crate::messages::{Input, Inputs};
use crate::watch_schedule::{Call, PATIENCE, WatchSchedule};
use call::{Failure, call};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep_until};

/// Least time from one watch call to the next. A watch is only kept when the next call goes within
/// 200 ms of the last answer; less than that keeps a discovery that answers at once from being
/// called in a tight loop.
const SPACING: Duration = Duration::from_millis(50);
/// What may be asked of discovery.
#[derive(Clone, Copy)]
pub enum Ask {
    /// Changes from now on, until a call fails.
    Watch,
    /// No more changes.
    StopWatch,
    /// The whole list once.
    Fetch,
}

/// What follows the list at one address. Where discovery moves, nothing of it is left.
struct Follower {
    at: SocketAddr,
    /// The version that is held, if it is one of this address's.
    index: Rc<Cell<Option<u64>>>,
    inputs: Inputs,
    watching: Option<AbortHandle>,
    fetching: Option<AbortHandle>,
}

impl Follower {
    fn new(at: SocketAddr, known: Option<u64>, inputs: Inputs) -> Self {
        Self {
            at,
            index: Rc::new(Cell::new(known)),
            inputs,
            watching: None,
            fetching: None,
        }
    }

    /// Watches. One that runs goes on: a second would only put more load on discovery. One that has
    /// ended has failed.
    fn watch(&mut self, rng: fastrand::Rng) {
        if running(&self.watching) {
            return;
        }
        let watching = WatchSchedule::new(self.watching.is_some());
        let task = keep_watching(
            self.at,
            watching,
            rng,
            Rc::clone(&self.index),
            self.inputs.clone(),
        );
        self.watching = Some(spawn_local(task).abort_handle());
    }

    fn stop_watch(&mut self) {
        if let Some(watching) = self.watching.take() {
            watching.abort();
        }
    }

    fn fetch(&mut self) {
        if running(&self.fetching) {
            return;
        }
        let (at, index, inputs) = (self.at, Rc::clone(&self.index), self.inputs.clone());
        let fetch = async move {
            let whole = Call {
                wait: Duration::ZERO,
                within: PATIENCE,
            };
            let answer = call(at, &mut None, None, whole).await;
            tell(answer, None, &index, &inputs);
        };
        self.fetching = Some(spawn_local(fetch).abort_handle());
    }
}

impl Drop for Follower {
    /// Late answers are no longer heard.
    fn drop(&mut self) {
        for task in [self.watching.take(), self.fetching.take()]
            .into_iter()
            .flatten()
        {
            task.abort();
        }
    }
}

fn running(task: &Option<AbortHandle>) -> bool {
    task.as_ref().is_some_and(|task| !task.is_finished())
}

/// Carries out what is asked, one watch at most at a time. Where discovery moves, the watch moves
/// along at once.
pub async fn run(
    mut at: watch::Receiver<SocketAddr>,
    known: Option<u64>,
    seed: u64,
    mut asks: mpsc::UnboundedReceiver<Ask>,
    inputs: Inputs,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = *at.borrow_and_update();
    let mut follower = Follower::new(start, known, inputs.clone());
    loop {
        tokio::select! {
            biased;
            Ok(()) = at.changed() => {
                let watched = follower.watching.is_some();
                let moved = *at.borrow_and_update();
                // Whether versions go on there is not known: the whole list comes first.
                follower = Follower::new(moved, None, inputs.clone());
                if watched {
                    follower.watch(rng.fork());
                }
            }
            ask = asks.recv() => match ask {
                Some(Ask::Watch) => follower.watch(rng.fork()),
                Some(Ask::StopWatch) => follower.stop_watch(),
                Some(Ask::Fetch) => follower.fetch(),
                None => return,
            },
        }
    }
}

/// Call after call until one fails; the module then says when to begin anew.
async fn keep_watching(
    at: SocketAddr,
    mut watching: WatchSchedule,
    mut rng: fastrand::Rng,
    index: Rc<Cell<Option<u64>>>,
    inputs: Inputs,
) {
    let mut link = None;
    loop {
        let next = Instant::now() + SPACING;
        let after = index.get();
        let answer = call(
            at,
            &mut link,
            after,
            watching.call(after.is_some(), rng.f64()),
        )
        .await;
        let goes_on = match &answer {
            Ok(_) => {
                watching.answered();
                true
            }
            Err(Failure::Silent) => {
                watching.silent();
                true
            }
            Err(Failure::Said(_)) => false,
        };
        tell(answer, after, &index, &inputs);
        if !goes_on {
            return;
        }
        sleep_until(next).await;
    }
}

/// Passes on a failure, or an answer to a call for news after that version.
fn tell(
    answer: Result<HostList, Failure>,
    after: Option<u64>,
    index: &Cell<Option<u64>>,
    inputs: &Inputs,
) {
    match answer {
        Ok(list) => {
            let held = index.get();
            if held != after && held > Some(list.index) {
                // Another call was answered meanwhile, with something newer.
                return;
            }
            // Where changes go back to an earlier version, discovery has begun anew: what they
            // build on is not held here.
            let follows = list.snapshot || after.is_none_or(|after| after <= list.index);
            index.set(follows.then_some(list.index));
            inputs.send(Input::EndpointList(list));
        }
        Err(Failure::Silent) => inputs.send(Input::ListFailed("no answer".to_owned())),
        Err(Failure::Said(what)) => inputs.send(Input::ListFailed(what)),
    }
}
