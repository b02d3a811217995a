//! Behaviour without unusual faults: round robin, retries with backoff, timeouts, circuit breaker and
//! bulkhead.

#[path = "../common/mod.rs"]
mod common;

mod guards;
mod retries;
mod round_robin;
mod settings;
