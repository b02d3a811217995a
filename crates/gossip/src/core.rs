//! A member as one state machine without I/O and clock: datagrams, its own health observations, the
//! endpoint list and the time go in; datagrams and ejections come out.

mod answers;
mod anti_entropy;
mod connectivity;
mod dissemination;
mod ejections;
mod fragments;
mod inbound;
mod membership;
mod observations;
mod peers;
mod summaries;
mod views;
mod zone_probes;

use crate::connectivity_tracker::ConnectivityTracker;
pub use crate::effects::{CarriedFragment, Counts, Effects, EjectionUpdate, Listed};
use crate::fragments::FragmentCarrier;
pub use crate::fragments::{CARRIED, FragmentRefused, MAX_BODY_BYTES};
use crate::frame::Dropped;
use crate::health_status::EjectionPolicy;
use crate::member::Member;
use crate::membership_table::MembershipTable;
use crate::observation_table::{Process, Table};
use crate::section::{FleetSection, micros};
pub use crate::summary::MembershipSummary;
use crate::token_bucket::TokenBucket;
use crate::view_comparison::Digest;
use crate::{Micros, SECOND, hash};
use anti_entropy::{ANSWER_RATE, ASKS};
use dissemination::PendingUpdate;
use ejections::Ejection;
use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, PostcardCodec, Timer};
use ipnet::IpNet;
use membership::{Known, foca_config};
use observations::{OWN_BURST, OwnObservation};
pub use peers::Peers;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// How often news leave and ejections are looked at, while there are any; and how often a member
/// wakes up else.
pub const TICK: Micros = SECOND / 10;
const IDLE_TICK: Micros = SECOND;
/// Members that are told something at a time.
const FANOUT: usize = 3;
/// How long news may be under way; the skew of clocks comes on top.
const UNDER_WAY: Micros = SECOND;
/// A member that wakes up this much later than it wanted has not seen others' silence but its own.
const OVERSLEPT: Micros = SECOND;
/// Part of the endpoints that one member has seen of late, and their least number, beyond which
/// those it finds sick say more of itself.
const DOUBTED: f64 = 0.5;
const DOUBTED_LEAST: usize = 4;

/// A member.
pub struct Core {
    cluster: String,
    networks: Vec<IpNet>,
    seeds: Vec<SocketAddr>,
    skew: Micros,
    observations_shared: bool,
    policy: EjectionPolicy,
    max_ejected: f64,
    me: Member,
    origin: u64,
    zone: u64,
    sequence: u64,
    began: Micros,
    rng: SmallRng,
    foca: Foca<Member, PostcardCodec, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    timer_number: u64,
    next_tick: Micros,
    next_ask: Micros,
    members: BTreeMap<SocketAddr, Known>,
    /// The same, to draw from.
    drawn: Vec<SocketAddr>,
    by_origin: HashMap<u64, SocketAddr>,
    in_zone: HashMap<u64, usize>,
    listed: HashMap<u64, Listed>,
    processes: HashMap<usize, Process>,
    ready: usize,
    table: Table,
    /// When all of which anything is known is looked at again.
    next_sweep: Micros,
    own: HashMap<Process, OwnObservation>,
    tokens: TokenBucket,
    answers: TokenBucket,
    asks: (u8, Micros),
    overslept_until: Micros,
    ejected: BTreeMap<usize, Ejection>,
    news: VecDeque<PendingUpdate>,
    tracks_connectivity: bool,
    tracker: ConnectivityTracker,
    membership: MembershipTable,
    version: String,
    list_seen: Option<Micros>,
    /// Zones of endpoints, by their numbers.
    placed: HashMap<usize, u64>,
    digest: Option<Digest>,
    next_view: Micros,
    views_due: u8,
    asked: u8,
    fragments: FragmentCarrier,
    effects: Effects,
    counts: Counts,
}

impl Core {
    /// A member that knows nobody yet. `incarnation` must be higher than that of any earlier
    /// incarnation.
    pub fn new(
        section: &FleetSection,
        name: &str,
        zone: &str,
        incarnation: u64,
        seed: u64,
        now: Micros,
    ) -> Self {
        let address = section.reached_at();
        let me = Member {
            address,
            name: name.to_owned(),
            zone: zone.to_owned(),
            incarnation,
        };
        let (origin, zone) = (hash(name), hash(zone));
        let foca = Foca::new(
            me.clone(),
            foca_config(section),
            SmallRng::seed_from_u64(seed),
            PostcardCodec,
        );
        let ejection = &section.ejection;
        Self {
            cluster: section.cluster.clone(),
            networks: section.networks.clone(),
            seeds: section
                .seeds
                .iter()
                .copied()
                .filter(|seed| *seed != address)
                .collect(),
            skew: micros(section.skew),
            observations_shared: ejection.enabled,
            policy: EjectionPolicy {
                max_staleness: micros(ejection.max_staleness),
                min_reporters: ejection.min_reporters,
                ejection_time: micros(ejection.ejection_time),
            },
            max_ejected: ejection.max_ejected,
            me,
            origin,
            zone,
            sequence: 0,
            began: now,
            rng: SmallRng::seed_from_u64(seed ^ 0x6c70_6600),
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_number: 0,
            next_tick: now,
            next_ask: now,
            members: BTreeMap::new(),
            drawn: Vec::new(),
            by_origin: HashMap::new(),
            in_zone: HashMap::from([(zone, 1)]),
            listed: HashMap::new(),
            processes: HashMap::new(),
            ready: 0,
            table: Table::default(),
            next_sweep: now,
            own: HashMap::new(),
            tokens: TokenBucket::new(now, OWN_BURST),
            answers: TokenBucket::new(now, ANSWER_RATE),
            asks: (ASKS, now),
            overslept_until: Micros::MIN,
            ejected: BTreeMap::new(),
            news: VecDeque::new(),
            tracks_connectivity: section.connectivity.enabled,
            tracker: ConnectivityTracker::new(now),
            membership: MembershipTable::default(),
            version: String::new(),
            list_seen: None,
            placed: HashMap::new(),
            digest: None,
            next_view: now,
            views_due: 0,
            asked: 0,
            fragments: FragmentCarrier::new(now),
            effects: Effects::default(),
            counts: Counts::default(),
        }
    }

    /// When [`Core::tick`] is due next.
    pub fn next(&self) -> Micros {
        self.timers
            .first_key_value()
            .map_or(self.next_tick, |((at, _), _)| (*at).min(self.next_tick))
    }

    /// What came of it so far; to be taken after each call.
    pub fn effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    fn drop_one(&mut self, why: Dropped) {
        self.counts.dropped[why as usize] += 1;
    }

    fn send(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.effects.datagrams.push((to, bytes));
    }

    /// Time has come.
    pub fn tick(&mut self, now: Micros) {
        if self.tracks_connectivity {
            self.tracker.woke(now, self.next());
        }
        while let Some((&(at, number), _)) = self.timers.first_key_value()
            && at <= now
        {
            if let Some(timer) = self.timers.remove(&(at, number)) {
                // One that came too late for its own purpose tells so, and the next begins anew.
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
            }
        }
        self.follow(now);
        if now < self.next_tick {
            return;
        }
        if now - self.next_tick > OVERSLEPT {
            self.overslept_until = now + OVERSLEPT;
        }
        self.next_tick = now + IDLE_TICK;
        if now >= self.next_ask && !self.seeds.is_empty() {
            self.ask_seeds(now);
        }
        self.update_connectivity(now);
        if self.observations_shared {
            self.reassess_all(now);
            self.ask(now);
        }
        self.gossip(now);
        self.publish_views(now);
        let asks = self.observations_shared && self.asks.0 > 0 && !self.drawn.is_empty();
        if asks || !self.news.is_empty() || !self.fragments.is_empty() || !self.ejected.is_empty() {
            self.wake(now);
        }
    }
}
