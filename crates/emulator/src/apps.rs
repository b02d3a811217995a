//! Stand-ins for client applications: an open-loop load with the clients' own retries.

mod connection;

use crate::Us;
use crate::net::Clock;
use crate::plan::{Arrival, Plan};
use crate::record::{Record, Seen, Try};
use crate::servers::{Servers, arrival_of, try_number};
use crate::site::{CLASSES, CLIENT_RETRIES, Repeat};
use bytes::Bytes;
use connection::{AttemptEnd, ExchangeError, Pool, connect, exchange, park, take_idle};
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

/// The body of requests that have one.
const REQUEST_BODY: &str =
    "{\"entry\":\"0000000000000000000000000000000000000000000000000000000000000000\"}";
/// Longest Retry-After that clients honour, as in the settings, in microseconds.
const MAX_RETRY_AFTER_US: Us = 2_000_000;

/// All applications.
pub struct Apps {
    /// The requests.
    pub plan: Arc<Plan>,
    /// The clock of the run.
    pub clock: Clock,
    /// The record of the run.
    pub record: Record,
    /// The address of each application's sidecar.
    pub sidecars: Vec<SocketAddr>,
    /// The servers, which know whether a request was forwarded.
    pub servers: Arc<Servers>,
}

impl Apps {
    /// Sends all requests and waits until they have ended. Returns how late one request in a
    /// hundred was sent, in microseconds.
    pub async fn run(self: Arc<Self>, progress: impl Fn(usize)) -> Us {
        let pools: Vec<Pool> = self.sidecars.iter().map(|_| Pool::default()).collect();
        let mut lateness = Histogram::<u64>::new(3).ok();
        let mut tasks = JoinSet::new();
        for (number, arrival) in self.plan.arrivals.iter().enumerate() {
            self.clock.until(arrival.at).await;
            if let Some(lateness) = &mut lateness {
                lateness.saturating_record(self.clock.now().saturating_sub(arrival.at).max(1));
            }
            let (apps, pool) = (Arc::clone(&self), Arc::clone(&pools[arrival.sidecar]));
            tasks.spawn(async move {
                apps.request(number, &apps.plan.arrivals[number], pool)
                    .await
            });
            while tasks.try_join_next().is_some() {}
            progress(number + 1);
        }
        while tasks.join_next().await.is_some() {}
        lateness.map_or(0, |l| l.value_at_percentile(99.0))
    }

    /// Sends one request, with its client's retries.
    async fn request(&self, number: usize, arrival: &Arrival, pool: Pool) {
        for attempt in 0..=CLIENT_RETRIES {
            let request = try_number(number, attempt);
            let address = self.sidecars[arrival.sidecar];
            let gives_up_at = Instant::now() + Duration::from_micros(arrival.patience);
            let Some(end) = self
                .attempt(
                    request,
                    number,
                    arrival,
                    address,
                    &pool,
                    gives_up_at,
                    attempt > 0,
                )
                .await
            else {
                self.record.note(
                    self.clock.now(),
                    Seen::Unreached {
                        sidecar: arrival.sidecar,
                    },
                );
                if !self.wait_to_retry(arrival, attempt, None).await {
                    return;
                }
                continue;
            };
            let now = self.clock.now();
            let (seen, retry_after, is_served) = match end {
                AttemptEnd::Answered {
                    status,
                    is_genuine: genuine,
                    retry_after: hold_off,
                } => (
                    Seen::Answered {
                        request,
                        status,
                        genuine,
                    },
                    hold_off,
                    status == 200,
                ),
                AttemptEnd::Lost => (Seen::Lost { request }, None, false),
                AttemptEnd::GaveUp => (Seen::GaveUp { request }, None, false),
            };
            // A request that may have been executed must not be retried by a client either.
            let may_retry = match CLASSES[arrival.class].repeat {
                Repeat::Never => matches!(
                    seen,
                    Seen::Answered {
                        status: 429 | 503,
                        ..
                    }
                ),
                Repeat::Safe | Repeat::Keyed => true,
            };
            self.record.note(now, seen);
            if is_served || !may_retry || !self.wait_to_retry(arrival, attempt, retry_after).await {
                return;
            }
        }
    }

    /// Waits before a retry; returns whether there is one.
    async fn wait_to_retry(
        &self,
        arrival: &Arrival,
        attempt: u32,
        retry_after: Option<Us>,
    ) -> bool {
        let Some(backoff) = arrival.waits.get(attempt as usize) else {
            return false;
        };
        let wait = retry_after.map_or(*backoff, |told| told.min(MAX_RETRY_AFTER_US).max(*backoff));
        let left = (arrival.at + CLASSES[arrival.class].deadline).saturating_sub(self.clock.now());
        if wait >= left {
            return false;
        }
        sleep(Duration::from_micros(wait)).await;
        true
    }

    /// Makes one attempt; `None` if no sidecar accepted it.
    #[allow(clippy::too_many_arguments, reason = "all that one try is")]
    async fn attempt(
        &self,
        request: Try,
        number: usize,
        arrival: &Arrival,
        address: SocketAddr,
        pool: &Pool,
        gives_up_at: Instant,
        is_retry: bool,
    ) -> Option<AttemptEnd> {
        let taken_event = || {
            let until = self.clock.now().saturating_add(arrival.patience);
            Seen::Taken {
                request,
                arrival: number,
                sidecar: arrival.sidecar,
                until,
            }
        };
        let mut is_recorded = false;
        // The sidecar may close an idle connection just as it is reused: the client then sends the
        // request again on a new one.
        if let Some(sender) = take_idle(pool) {
            is_recorded = true;
            self.record.note(self.clock.now(), taken_event());
            match timeout_at(
                gives_up_at,
                exchange(
                    sender,
                    self.build_request(request, arrival, is_retry, gives_up_at)?,
                    request,
                ),
            )
            .await
            {
                Err(_) => return Some(AttemptEnd::GaveUp),
                Ok(Ok((end, sender))) => {
                    park(pool, sender);
                    return Some(end);
                }
                // A request that was forwarded had been read.
                Ok(Err(ExchangeError::Unread)) if !self.servers.was_forwarded(request) => {}
                Ok(Err(_)) => return Some(AttemptEnd::Lost),
            }
        }
        let opened = timeout_at(gives_up_at, connect(address)).await;
        let Ok(Ok(sender)) = opened else {
            return if is_recorded {
                Some(AttemptEnd::Lost)
            } else {
                None
            };
        };
        if !is_recorded {
            self.record.note(self.clock.now(), taken_event());
        }
        match timeout_at(
            gives_up_at,
            exchange(
                sender,
                self.build_request(request, arrival, is_retry, gives_up_at)?,
                request,
            ),
        )
        .await
        {
            Err(_) => Some(AttemptEnd::GaveUp),
            Ok(Ok((end, sender))) => {
                park(pool, sender);
                Some(end)
            }
            Ok(Err(_)) => Some(AttemptEnd::Lost),
        }
    }

    fn build_request(
        &self,
        request: Try,
        arrival: &Arrival,
        is_retry: bool,
        gives_up_at: Instant,
    ) -> Option<Request<Full<Bytes>>> {
        let class = &CLASSES[arrival.class];
        let left = gives_up_at
            .saturating_duration_since(Instant::now())
            .as_micros();
        let mut builder = Request::builder()
            .uri("/api")
            .header("host", "api.internal")
            .header("x-correlation-id", format!("{request:016x}"))
            .header("x-service-class", class.name)
            .header("cookie", format!("obj={:016x}", arrival.key))
            .header("x-time-left", format!("{left}u"));
        if is_retry {
            builder = builder.header("x-repeat", "1");
        }
        let (method, body) = match class.repeat {
            Repeat::Safe => (Method::GET, ""),
            Repeat::Keyed => {
                // The same in each attempt of a request, as servers deduplicate by it.
                let key = try_number(arrival_of(request), 15);
                builder = builder.header("idempotency-key", format!("{key:032x}"));
                (Method::POST, REQUEST_BODY)
            }
            Repeat::Never => (Method::POST, REQUEST_BODY),
        };
        builder
            .method(method)
            .body(Full::new(Bytes::from_static(body.as_bytes())))
            .ok()
    }
}
