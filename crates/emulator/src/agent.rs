//! Stand-ins for the discovery agents, one beside each sidecar.

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

/// Longest wait of a watch, as in the protocol, in microseconds.
const MAX_WATCH_WAIT_US: Us = 60_000_000;

/// The agent of one sidecar.
pub struct Agent {
    plan: Arc<Plan>,
    clock: Clock,
    record: Record,
    sidecar: usize,
    addresses: Arc<Vec<SocketAddr>>,
    mode: watch::Receiver<Mood>,
    catalogue: Catalogue,
    /// The state of each server as last reported to the sidecar.
    reported_states: Mutex<BTreeMap<usize, State>>,
}

impl Agent {
    /// Creates the agent of a sidecar that reaches the servers at these addresses.
    pub fn new(
        plan: Arc<Plan>,
        clock: Clock,
        record: Record,
        sidecar: usize,
        addresses: Arc<Vec<SocketAddr>>,
        (mode, catalogue): (watch::Receiver<Mood>, Catalogue),
    ) -> Arc<Self> {
        let initial_servers = plan
            .directory
            .initial
            .iter()
            .map(|server| (*server, State::Active { since: None }));
        let reported_states = Mutex::new(initial_servers.collect());
        Arc::new(Self {
            plan,
            clock,
            record,
            sidecar,
            addresses,
            mode,
            catalogue,
            reported_states,
        })
    }

    /// Listens on a free port of that host, until its task is aborted.
    pub fn listen(self: &Arc<Self>, host: IpAddr) -> io::Result<(SocketAddr, AbortHandle)> {
        let listener = std::net::TcpListener::bind((host, 0))?;
        listener.set_nonblocking(true)?;
        let (listener, address) = (
            TcpListener::from_std(listener.try_clone()?)?,
            listener.local_addr()?,
        );
        let agent = Arc::clone(self);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let this = Arc::clone(&agent);
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

    /// The initial list, for the sidecar's configuration.
    pub fn cached_list(&self) -> serde_json::Value {
        self.list_json(
            &self.catalogue.with(|directory| directory.list_at(0)),
            0,
            true,
        )
    }

    fn list_json(
        &self,
        entries: &[(usize, State)],
        version: usize,
        is_whole: bool,
    ) -> serde_json::Value {
        let address = |server: usize| self.addresses[server];
        listing::list(
            &self.plan,
            entries,
            version,
            is_whole,
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
        let until = self.clock.now().saturating_add(wait.min(MAX_WATCH_WAIT_US));
        let (mut mode, mut changes) = (self.mode.clone(), self.catalogue.subscribe());
        let text = loop {
            let now = *mode.borrow_and_update();
            match now {
                Mood::Silent => std::future::pending().await,
                Mood::Garbled => break "{\"index\":7,\"endpoints\":[{\"name\":7".to_owned(),
                Mood::Empty => break "{\"index\":7,\"snapshot\":true,\"endpoints\":[]}".to_owned(),
                Mood::Well => {}
            }
            let lag = self.plan.sidecars[self.sidecar].list_lag;
            changes.borrow_and_update();
            let version = self
                .catalogue
                .with(|directory| directory.version_at(self.clock.now(), lag));
            // Version 1 is the initial list; an unknown version is from elsewhere.
            let held_version = after
                .and_then(|after| usize::try_from(after).ok()?.checked_sub(1))
                .filter(|s| *s <= version);
            let Some(since) = held_version else {
                break self.report_list(
                    &self.catalogue.with(|directory| directory.list_at(version)),
                    version,
                    true,
                );
            };
            if since < version || self.clock.now() >= until {
                break self.report_list(
                    &self
                        .catalogue
                        .with(|directory| directory.changes_between(since, version)),
                    version,
                    false,
                );
            }
            let next = self
                .catalogue
                .with(|directory| directory.next_change_at(version, lag))
                .unwrap_or(Us::MAX)
                .min(until);
            tokio::select! {
                () = self.clock.until(next) => {}
                Ok(()) = mode.changed() => {}
                Ok(()) = changes.changed() => {}
            }
        };
        Ok(Response::new(Full::new(Bytes::from(text))))
    }

    /// Formats a list, and records what it reports to the sidecar.
    fn report_list(&self, entries: &[(usize, State)], version: usize, is_whole: bool) -> String {
        let text = self.list_json(entries, version, is_whole).to_string();
        let mut reported_states = self
            .reported_states
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let listed = |server: &usize| entries.iter().any(|(i, _)| i == server);
        let missing: Vec<usize> = reported_states
            .keys()
            .copied()
            .filter(|i| is_whole && !listed(i))
            .collect();
        let removed = missing.into_iter().map(|i| (i, State::Left));
        let (now, sidecar) = (self.clock.now(), self.sidecar);
        for (server, state) in entries.iter().copied().chain(removed) {
            if reported_states.insert(server, state) != Some(state) {
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
