//! Stand-ins for client applications: an open-loop load with the clients' own retries (PROTOCOL,
//! BRIEF).

mod connection;

use crate::Us;
use crate::net::Clock;
use crate::plan::{Arrival, Plan};
use crate::record::{Record, Seen, Try};
use crate::servers::{Servers, arrival_of, try_number};
use crate::site::{CLASSES, CLIENT_RETRIES, Repeat};
use bytes::Bytes;
use connection::{End, Failure, Pool, exchange, idle, keep, open};
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

/// Bodies of requests that have one.
const BODY: &str =
    "{\"entry\":\"0000000000000000000000000000000000000000000000000000000000000000\"}";
/// Longest hold-off that clients honour, as the settings state it.
const MAX_RETRY_AFTER: Us = 2_000_000;

/// All applications.
pub struct Apps {
    /// What they send.
    pub plan: Arc<Plan>,
    /// When.
    pub clock: Clock,
    /// Where it is noted.
    pub record: Record,
    /// Where each finds its sidecar.
    pub sidecars: Vec<SocketAddr>,
    /// Who knows whether a request was forwarded.
    pub servers: Arc<Servers>,
}

impl Apps {
    /// Sends everything, and waits until all of it has ended. Comes back with how late requests
    /// left, one in a hundred, in microseconds.
    pub async fn run(self: Arc<Self>, progress: impl Fn(usize)) -> Us {
        let pools: Vec<Pool> = self.sidecars.iter().map(|_| Pool::default()).collect();
        let mut lateness = Histogram::<u64>::new(3).ok();
        let mut tasks = JoinSet::new();
        for (number, arrival) in self.plan.arrivals.iter().enumerate() {
            self.clock.until(arrival.at).await;
            if let Some(lateness) = &mut lateness {
                lateness.saturating_record(self.clock.now().saturating_sub(arrival.at).max(1));
            }
            let (this, pool) = (Arc::clone(&self), Arc::clone(&pools[arrival.sidecar]));
            tasks.spawn(async move {
                this.request(number, &this.plan.arrivals[number], pool)
                    .await
            });
            while tasks.try_join_next().is_some() {}
            progress(number + 1);
        }
        while tasks.join_next().await.is_some() {}
        lateness.map_or(0, |l| l.value_at_percentile(99.0))
    }

    /// One request with its client's retries.
    async fn request(&self, number: usize, arrival: &Arrival, pool: Pool) {
        for attempt in 0..=CLIENT_RETRIES {
            let request = try_number(number, attempt);
            let at = self.sidecars[arrival.sidecar];
            let until = Instant::now() + Duration::from_micros(arrival.patience);
            let Some(end) = self
                .attempt(request, number, arrival, at, &pool, until, attempt > 0)
                .await
            else {
                self.record.note(
                    self.clock.now(),
                    Seen::Unreached {
                        sidecar: arrival.sidecar,
                    },
                );
                if !self.again(arrival, attempt, None).await {
                    return;
                }
                continue;
            };
            let now = self.clock.now();
            let (seen, hold_off, over) = match end {
                End::Answered {
                    status,
                    genuine,
                    hold_off,
                } => (
                    Seen::Answered {
                        request,
                        status,
                        genuine,
                    },
                    hold_off,
                    status == 200,
                ),
                End::Lost => (Seen::Lost { request }, None, false),
                End::GaveUp => (Seen::GaveUp { request }, None, false),
            };
            // What may have run is not for a client to repeat either.
            let harmless = match CLASSES[arrival.class].repeat {
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
            if over || !harmless || !self.again(arrival, attempt, hold_off).await {
                return;
            }
        }
    }

    /// Waits before a further try; whether there is to be one.
    async fn again(&self, arrival: &Arrival, attempt: u32, hold_off: Option<Us>) -> bool {
        let Some(wait) = arrival.waits.get(attempt as usize) else {
            return false;
        };
        let wait = hold_off.map_or(*wait, |told| told.min(MAX_RETRY_AFTER).max(*wait));
        let left = (arrival.at + CLASSES[arrival.class].deadline).saturating_sub(self.clock.now());
        if wait >= left {
            return false;
        }
        sleep(Duration::from_micros(wait)).await;
        true
    }

    /// One try; `None` where no sidecar took it.
    #[allow(clippy::too_many_arguments, reason = "all that one try is")]
    async fn attempt(
        &self,
        request: Try,
        number: usize,
        arrival: &Arrival,
        at: SocketAddr,
        pool: &Pool,
        until: Instant,
        repeat: bool,
    ) -> Option<End> {
        let taken = || {
            let until = self.clock.now().saturating_add(arrival.patience);
            Seen::Taken {
                request,
                arrival: number,
                sidecar: arrival.sidecar,
                until,
            }
        };
        let mut noted = false;
        // A kept connection may be closed by the sidecar in the moment it is used again: the client
        // then sends the request once more, on a new one.
        if let Some(sender) = idle(pool) {
            noted = true;
            self.record.note(self.clock.now(), taken());
            match timeout_at(
                until,
                exchange(
                    sender,
                    self.message(request, arrival, repeat, until)?,
                    request,
                ),
            )
            .await
            {
                Err(_) => return Some(End::GaveUp),
                Ok(Ok((end, sender))) => {
                    keep(pool, sender);
                    return Some(end);
                }
                // One that was forwarded had been read.
                Ok(Err(Failure::Unread)) if !self.servers.reached(request) => {}
                Ok(Err(_)) => return Some(End::Lost),
            }
        }
        let opened = timeout_at(until, open(at)).await;
        let Ok(Ok(sender)) = opened else {
            return if noted { Some(End::Lost) } else { None };
        };
        if !noted {
            self.record.note(self.clock.now(), taken());
        }
        match timeout_at(
            until,
            exchange(
                sender,
                self.message(request, arrival, repeat, until)?,
                request,
            ),
        )
        .await
        {
            Err(_) => Some(End::GaveUp),
            Ok(Ok((end, sender))) => {
                keep(pool, sender);
                Some(end)
            }
            Ok(Err(_)) => Some(End::Lost),
        }
    }

    fn message(
        &self,
        request: Try,
        arrival: &Arrival,
        repeat: bool,
        until: Instant,
    ) -> Option<Request<Full<Bytes>>> {
        let class = &CLASSES[arrival.class];
        let left = until.saturating_duration_since(Instant::now()).as_micros();
        let mut builder = Request::builder()
            .uri("/api")
            .header("host", "api.internal")
            .header("x-correlation-id", format!("{request:016x}"))
            .header("x-service-class", class.name)
            .header("cookie", format!("obj={:016x}", arrival.key))
            .header("x-time-left", format!("{left}u"));
        if repeat {
            builder = builder.header("x-repeat", "1");
        }
        let (method, body) = match class.repeat {
            Repeat::Safe => (Method::GET, ""),
            Repeat::Keyed => {
                // The same for each try of one request: it is what the servers know it by.
                let key = try_number(arrival_of(request), 15);
                builder = builder.header("idempotency-key", format!("{key:032x}"));
                (Method::POST, BODY)
            }
            Repeat::Never => (Method::POST, BODY),
        };
        builder
            .method(method)
            .body(Full::new(Bytes::from_static(body.as_bytes())))
            .ok()
    }
}
