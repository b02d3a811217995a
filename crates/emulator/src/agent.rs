//! Stand-ins for discovery agents, one on each sidecar's machine (PROTOCOL, "Discovery").

use crate::Us;
use crate::catalogue::Catalogue;
use crate::directory::State;
use crate::listing;
use crate::net::Clock;
use crate::plan::{Mood, Plan};
use crate::record::{Record, Seen};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Longest wait of a watch, as the protocol page has it.
const MAX_WATCH: Us = 60_000_000;

/// One sidecar's agent.
pub struct Agent {
    plan: Arc<Plan>,
    clock: Clock,
    record: Record,
    sidecar: usize,
    addresses: Arc<Vec<SocketAddr>>,
    mood: watch::Receiver<Mood>,
    catalogue: Catalogue,
    /// What the sidecar has been told of each server.
    told: Mutex<BTreeMap<usize, State>>,
}

impl Agent {
    /// For that sidecar, to which these are the servers' addresses.
    pub fn new(
        plan: Arc<Plan>,
        clock: Clock,
        record: Record,
        sidecar: usize,
        addresses: Arc<Vec<SocketAddr>>,
        (mood, catalogue): (watch::Receiver<Mood>, Catalogue),
    ) -> Arc<Self> {
        let known = plan
            .directory
            .known
            .iter()
            .map(|server| (*server, State::Active { since: None }));
        let told = Mutex::new(known.collect());
        Arc::new(Self {
            plan,
            clock,
            record,
            sidecar,
            addresses,
            mood,
            catalogue,
            told,
        })
    }

    /// Listens on a port of the system's choice on that host, until it is told to end.
    pub fn listen(self: &Arc<Self>, host: IpAddr) -> io::Result<(SocketAddr, AbortHandle)> {
        let listener = std::net::TcpListener::bind((host, 0))?;
        listener.set_nonblocking(true)?;
        let (listener, address) = (
            TcpListener::from_std(listener.try_clone()?)?,
            listener.local_addr()?,
        );
        let this = Arc::clone(self);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let this = Arc::clone(&this);
                let service = service_fn(move |request| Arc::clone(&this).answer(request));
                tokio::spawn(async move {
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Ok((address, task.abort_handle()))
    }

    /// The list as it is known at the beginning, for the sidecar's configuration.
    pub fn known(&self) -> serde_json::Value {
        self.list(
            &self.catalogue.with(|directory| directory.whole(0)),
            0,
            true,
        )
    }

    fn list(&self, entries: &[(usize, State)], heard: usize, whole: bool) -> serde_json::Value {
        let address = |server: usize| self.addresses[server];
        listing::list(
            &self.plan,
            entries,
            heard,
            whole,
            address,
            self.clock.began_ms(),
        )
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let query = request.uri().query().unwrap_or("").to_owned();
        let number = |name: &str| {
            query.split('&').find_map(|pair| {
                pair.strip_prefix(name)?
                    .strip_prefix('=')?
                    .parse::<u64>()
                    .ok()
            })
        };
        let (after, wait) = (
            number("after"),
            number("wait_ms").unwrap_or(0).saturating_mul(1000),
        );
        let until = self.clock.now().saturating_add(wait.min(MAX_WATCH));
        let (mut mood, mut changes) = (self.mood.clone(), self.catalogue.subscribe());
        let text = loop {
            let now = *mood.borrow_and_update();
            match now {
                Mood::Silent => std::future::pending().await,
                Mood::Garbled => break "{\"index\":7,\"endpoints\":[{\"name\":7".to_owned(),
                Mood::Empty => break "{\"index\":7,\"snapshot\":true,\"endpoints\":[]}".to_owned(),
                Mood::Well => {}
            }
            let lag = self.plan.sidecars[self.sidecar].list_lag;
            changes.borrow_and_update();
            let heard = self
                .catalogue
                .with(|directory| directory.heard(self.clock.now(), lag));
            // Version 1 is what is known before the first change; one that it does not know of is
            // from elsewhere.
            let since = after
                .and_then(|after| usize::try_from(after).ok()?.checked_sub(1))
                .filter(|s| *s <= heard);
            let Some(since) = since else {
                break self.tell(
                    &self.catalogue.with(|directory| directory.whole(heard)),
                    heard,
                    true,
                );
            };
            if since < heard || self.clock.now() >= until {
                break self.tell(
                    &self
                        .catalogue
                        .with(|directory| directory.between(since, heard)),
                    heard,
                    false,
                );
            }
            let next = self
                .catalogue
                .with(|directory| directory.next(heard, lag))
                .unwrap_or(Us::MAX)
                .min(until);
            tokio::select! {
                () = self.clock.until(next) => {}
                Ok(()) = mood.changed() => {}
                Ok(()) = changes.changed() => {}
            }
        };
        Ok(Response::new(Full::new(Bytes::from(text))))
    }

    /// Writes a list, and notes what its sidecar knows from now on.
    fn tell(&self, entries: &[(usize, State)], heard: usize, whole: bool) -> String {
        let text = self.list(entries, heard, whole).to_string();
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let listed = |server: &usize| entries.iter().any(|(i, _)| i == server);
        let missing: Vec<usize> = told
            .keys()
            .copied()
            .filter(|i| whole && !listed(i))
            .collect();
        let gone = missing.into_iter().map(|i| (i, State::Left));
        let (now, sidecar) = (self.clock.now(), self.sidecar);
        for (server, state) in entries.iter().copied().chain(gone) {
            if told.insert(server, state) != Some(state) {
                self.record.note(
                    now,
                    Seen::PlatformConfig {
                        sidecar,
                        server,
                        state,
                    },
                );
            }
        }
        text
    }
}
