//! An endpoint that has a request, until it is told to break off.

use super::await_that;
use super::endpoint::{Endpoint, Reply};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// Holds requests until told, and then closes their connections: they may have run.
pub struct Holding {
    pub endpoint: Endpoint,
    reached: Arc<AtomicBool>,
    told: Arc<AtomicBool>,
}

impl Holding {
    pub fn start() -> Self {
        let [reached, told] = [(); 2].map(|()| Arc::new(AtomicBool::new(false)));
        let (arrived, go) = (reached.clone(), told.clone());
        let endpoint = Endpoint::start(move |_| {
            arrived.store(true, Ordering::SeqCst);
            await_that("it is told to close", || go.load(Ordering::SeqCst));
            Reply::Close
        });
        Self {
            endpoint,
            reached,
            told,
        }
    }

    /// Waits until a request has come; it was sent no later than the instant that is returned.
    pub fn await_request(&self) -> Instant {
        await_that("the request is out", || self.reached.load(Ordering::SeqCst));
        Instant::now()
    }

    /// Closes the connections of the requests that it holds, and of those that still come.
    pub fn close(&self) {
        self.told.store(true, Ordering::SeqCst);
    }
}
