//! An endpoint that holds requests until told to close their connections.

use super::endpoint::{Endpoint, Reply};
use super::wait_until;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// Holds requests, and closes their connections when told: they may have been executed.
pub struct HoldingEndpoint {
    pub endpoint: Endpoint,
    reached: Arc<AtomicBool>,
    told: Arc<AtomicBool>,
}

impl HoldingEndpoint {
    pub fn start() -> Self {
        let [reached, told] = [(); 2].map(|()| Arc::new(AtomicBool::new(false)));
        let (arrived, go) = (reached.clone(), told.clone());
        let endpoint = Endpoint::start(move |_| {
            arrived.store(true, Ordering::SeqCst);
            wait_until("it is told to close", || go.load(Ordering::SeqCst));
            Reply::Close
        });
        Self {
            endpoint,
            reached,
            told,
        }
    }

    /// Waits until a request has arrived; returns a time at which it had been sent.
    pub fn wait_for_request(&self) -> Instant {
        wait_until("the request is out", || self.reached.load(Ordering::SeqCst));
        Instant::now()
    }

    /// Closes the connections of all held and later requests.
    pub fn close(&self) {
        self.told.store(true, Ordering::SeqCst);
    }
}
