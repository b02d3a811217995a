//! Polls the platform's server list and the sidecars' health observations while this coordinator
//! leads.

use crate::calls::PendingCalls;
use crate::clock::Clock;
use crate::config::{ObservationSection, Sections};
use crate::fetch::fetch;
use crate::log_thread::PublishedStatus;
use crate::server_list::{ListedServer, ServerList};
use load_balancer_coordinator::core::Input;
use load_balancer_coordinator::observations::{
    AgreementRules, SidecarReport, ZoneObservations, combine,
};
use load_balancer_maintenance::Server;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// Maximum number of concurrent requests to sidecars.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// Maximum age of the server list in drain checks.
const MAX_LIST_AGE: Duration = Duration::from_millis(200);

/// A random sample of sidecars, each with its zone.
pub type SidecarSample = Vec<(String, SocketAddr)>;

/// Polls the platform and the sidecars.
pub struct Poller {
    sections: Sections,
    clock: Clock,
    status: watch::Receiver<Arc<PublishedStatus>>,
    calls: PendingCalls,
    list: ServerList,
    /// Since when each draining server has been idle, with the fencing token of the drain.
    idle_since: RefCell<BTreeMap<String, (u64, Instant)>>,
    /// The sidecars that were asked about a draining server, with the fencing token of the drain.
    pub drain_sidecars: RefCell<BTreeMap<String, (u64, SidecarSample)>>,
    /// Number of sidecars that answered in the last round, and that were polled.
    pub answered: Cell<(usize, usize)>,
}

impl Poller {
    pub fn new(
        sections: &Sections,
        clock: Clock,
        status: watch::Receiver<Arc<PublishedStatus>>,
        calls: PendingCalls,
    ) -> Rc<Self> {
        Rc::new(Self {
            sections: sections.clone(),
            clock,
            status,
            calls,
            list: ServerList::new(&sections.platform),
            idle_since: RefCell::default(),
            drain_sidecars: RefCell::default(),
            answered: Cell::default(),
        })
    }

    /// Polls until the process ends.
    pub async fn run(self: Rc<Self>) {
        let mut rounds = interval(self.sections.observations.period.0);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut status = self.status.clone();
        loop {
            let is_leading = |status: &Arc<PublishedStatus>| {
                status
                    .view
                    .as_ref()
                    .is_some_and(|view| view.replica_status.acts)
            };
            if status.wait_for(is_leading).await.is_err() {
                return;
            }
            rounds.tick().await;
            self.poll().await;
        }
    }

    async fn poll(&self) {
        let servers = match self.list.read(Duration::ZERO).await {
            Ok(list) => {
                let servers: Vec<Server> = list.into_iter().map(Server::from).collect();
                self.calls.send_input(Input::ServerList(servers.clone()));
                servers
            }
            // Without a new server list the observations still apply to the last one.
            Err(_) => self.list.last(),
        };
        let reports = self.fetch_reports().await;
        let section = &self.sections.observations;
        let sidecars = section.sidecars.iter();
        let min_agreeing = sidecars
            .map(|(zone, sidecars)| (zone.clone(), section.agree.min(sidecars.len())))
            .collect();
        let warm_after_ms = i64::try_from(section.warm_after.0.as_millis()).unwrap_or(i64::MAX);
        // Read the clock before computing ages: a suspension in between then makes them older,
        // never younger.
        let now = self.clock.now();
        let heard: Vec<ZoneObservations> = reports
            .into_iter()
            .map(|(zone, requested_ms, report)| ZoneObservations {
                zone,
                request_age_ms: now.mono_ms.saturating_sub(requested_ms),
                report,
            })
            .collect();
        let observations = combine(
            &AgreementRules {
                min_agreeing,
                warm_after_ms,
            },
            now.unix_ms,
            &servers,
            &heard,
        );
        self.calls
            .send_input(Input::Observations(now.mono_ms, observations));
    }

    /// Returns whether a draining server has been idle for `[affinity_drain] quiet`, according to
    /// the platform's lists: a request may be in transit while a single list shows the server as
    /// idle.
    pub async fn is_idle(&self, name: &str, epoch: u64) -> bool {
        let Ok(list) = self.list.read(MAX_LIST_AGE).await else {
            return false;
        };
        let server = list.iter().find(|server| server.name == name);
        let mut idle = self.idle_since.borrow_mut();
        // Forget servers that are no longer listed.
        let is_listed = |name: &String| list.iter().any(|server| server.name == *name);
        idle.retain(|name, _| is_listed(name));
        self.drain_sidecars
            .borrow_mut()
            .retain(|name, _| is_listed(name));
        if !server.is_some_and(ListedServer::is_drained) {
            idle.remove(name);
            return false;
        }
        let now = (epoch, Instant::now());
        let idle_since = idle.entry(name.to_owned()).or_insert(now);
        if idle_since.0 != epoch {
            *idle_since = now;
        }
        idle_since.1.elapsed() >= self.sections.affinity_drain.quiet.0
    }

    /// Returns a random sample of the configured size from each zone.
    pub fn sample_sidecars(&self) -> SidecarSample {
        let section = &self.sections.observations;
        let mut sample = Vec::new();
        for (zone, addresses) in &section.sidecars {
            let mut addresses = addresses.clone();
            fastrand::shuffle(&mut addresses);
            sample.extend(
                addresses
                    .into_iter()
                    .take(section.ask)
                    .map(|address| (zone.clone(), address)),
            );
        }
        sample
    }

    /// Returns the settings of observations.
    pub fn observations(&self) -> &ObservationSection {
        &self.sections.observations
    }

    /// Fetches the reports of a sample of sidecars. Returns each with its zone and the time of the
    /// request.
    async fn fetch_reports(&self) -> Vec<(String, u64, SidecarReport)> {
        let (time_limit, permits) = (
            self.sections.observations.timeout.0,
            Rc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS)),
        );
        let mut requests = JoinSet::new();
        let sample = self.sample_sidecars();
        let requested = sample.len();
        for (zone, address) in sample {
            let (permits, clock) = (Rc::clone(&permits), self.clock);
            requests.spawn_local(async move {
                let _permit = permits.acquire().await;
                let requested_ms = clock.now().mono_ms;
                let (status, content) = fetch(address, "GET", "/fleet/servers", None, time_limit)
                    .await
                    .ok()?;
                let report: SidecarReport = serde_json::from_value(content)
                    .ok()
                    .filter(|_| status == 200)?;
                Some((zone, requested_ms, report))
            });
        }
        let mut reports = Vec::new();
        while let Some(report) = requests.join_next().await {
            reports.extend(report.ok().flatten());
        }
        self.answered.set((reports.len(), requested));
        reports
    }
}
