//! Polls the platform's server list and the sidecars' health observations while this coordinator
//! leads.

use crate::calls::Calls;
use crate::clock::Clock;
use crate::config::{ObservationSection, Sections};
use crate::fetch::fetch;
use crate::log_thread::Seen;
use crate::server_list::{ListedServer, ServerList};
use load_balancer_coordinator::core::Input;
use load_balancer_coordinator::observations::{Page, Weights, ZoneObservations, weigh};
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

/// Sidecars that are asked at once.
const AT_ONCE: usize = 32;
/// A list of this age is as good as a new one for whoever waits for a server to be idle.
const FRESH: Duration = Duration::from_millis(200);

/// Sidecars' addresses with their zones.
pub type Drawn = Vec<(String, SocketAddr)>;

/// Polls the platform and the sidecars.
pub struct Poller {
    sections: Sections,
    clock: Clock,
    seen: watch::Receiver<Arc<Seen>>,
    calls: Calls,
    list: ServerList,
    /// Since when a draining server was seen idle, for the drain with that token.
    idle: RefCell<BTreeMap<String, (u64, Instant)>>,
    /// Sidecars that are asked whether a server is clear, by the token of its drain.
    pub witnesses: RefCell<BTreeMap<String, (u64, Drawn)>>,
    /// Sidecars that answered in the last round, and that were asked.
    pub answered: Cell<(usize, usize)>,
}

impl Poller {
    pub fn new(
        sections: &Sections,
        clock: Clock,
        seen: watch::Receiver<Arc<Seen>>,
        calls: Calls,
    ) -> Rc<Self> {
        Rc::new(Self {
            sections: sections.clone(),
            clock,
            seen,
            calls,
            list: ServerList::new(&sections.platform),
            idle: RefCell::default(),
            witnesses: RefCell::default(),
            answered: Cell::default(),
        })
    }

    /// Looks until the process ends.
    pub async fn run(self: Rc<Self>) {
        let mut rounds = interval(self.sections.observations.period.0);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut seen = self.seen.clone();
        loop {
            let leads = |seen: &Arc<Seen>| {
                seen.view
                    .as_ref()
                    .is_some_and(|view| view.replica_status.acts)
            };
            if seen.wait_for(leads).await.is_err() {
                return;
            }
            rounds.tick().await;
            self.round().await;
        }
    }

    async fn round(&self) {
        let servers = match self.list.read(Duration::ZERO).await {
            Ok(list) => {
                let servers: Vec<Server> = list.into_iter().map(Server::from).collect();
                self.calls.tell(Input::Listed(servers.clone()));
                servers
            }
            // Observations is of use without a new list, on those of the last one.
            Err(_) => self.list.last(),
        };
        let heard = self.pages().await;
        let evidence = &self.sections.observations;
        let agree = evidence.sidecars.iter();
        let agree = agree
            .map(|(zone, all)| (zone.clone(), evidence.agree.min(all.len())))
            .collect();
        let warm_after_ms = i64::try_from(evidence.warm_after.0.as_millis()).unwrap_or(i64::MAX);
        // Before the ages are read: a process that is held up in between makes them older, not
        // younger.
        let now = self.clock.now();
        let heard: Vec<ZoneObservations> = heard
            .into_iter()
            .map(|(zone, begun, page)| ZoneObservations {
                zone,
                asked_ago_ms: now.mono_ms.saturating_sub(begun),
                page,
            })
            .collect();
        let words = weigh(
            &Weights {
                agree,
                warm_after_ms,
            },
            now.unix_ms,
            &servers,
            &heard,
        );
        self.calls.tell(Input::Observations(now.mono_ms, words));
    }

    /// Whether nothing ran at a server that drains in all polls of `[affinity_drain] quiet`, by the
    /// platform's list of after the drain: a request may have been on its way to it in one of them.
    pub async fn idle(&self, name: &str, epoch: u64) -> bool {
        let Ok(list) = self.list.read(FRESH).await else {
            return false;
        };
        let server = list.iter().find(|server| server.name == name);
        let mut idle = self.idle.borrow_mut();
        // What is not listed any more is nobody's question.
        let listed = |name: &String| list.iter().any(|server| server.name == *name);
        idle.retain(|name, _| listed(name));
        self.witnesses.borrow_mut().retain(|name, _| listed(name));
        if !server.is_some_and(ListedServer::is_drained) {
            idle.remove(name);
            return false;
        }
        let now = (epoch, Instant::now());
        let since = idle.entry(name.to_owned()).or_insert(now);
        if since.0 != epoch {
            *since = now;
        }
        since.1.elapsed() >= self.sections.affinity_drain.quiet.0
    }

    /// Addresses of so many sidecars of each zone, drawn anew.
    pub fn draw(&self) -> Drawn {
        let evidence = &self.sections.observations;
        let mut drawn = Vec::new();
        for (zone, all) in &evidence.sidecars {
            let mut all = all.clone();
            fastrand::shuffle(&mut all);
            drawn.extend(
                all.into_iter()
                    .take(evidence.ask)
                    .map(|at| (zone.clone(), at)),
            );
        }
        drawn
    }

    /// How the fleet is asked.
    pub fn observations(&self) -> &ObservationSection {
        &self.sections.observations
    }

    /// Pages with their zone and the moment at which they were asked for.
    async fn pages(&self) -> Vec<(String, u64, Page)> {
        let (within, bound) = (
            self.sections.observations.timeout.0,
            Rc::new(Semaphore::new(AT_ONCE)),
        );
        let mut asking = JoinSet::new();
        let drawn = self.draw();
        let asked = drawn.len();
        for (zone, at) in drawn {
            let (bound, clock) = (Rc::clone(&bound), self.clock);
            asking.spawn_local(async move {
                let _permit = bound.acquire().await;
                let begun = clock.now().mono_ms;
                let (status, page) = fetch(at, "GET", "/fleet/servers", None, within)
                    .await
                    .ok()?;
                let page: Page = serde_json::from_value(page)
                    .ok()
                    .filter(|_| status == 200)?;
                Some((zone, begun, page))
            });
        }
        let mut pages = Vec::new();
        while let Some(page) = asking.join_next().await {
            pages.extend(page.ok().flatten());
        }
        self.answered.set((pages.len(), asked));
        pages
    }
}
