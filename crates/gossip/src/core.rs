//! A member as one state machine without I/O and clock. Its inputs are datagrams, its own health
//! observations, the endpoint list and the time; its outputs are datagrams and ejections.

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
pub use crate::effects::{Counts, Effects, EjectionUpdate, ObservedEndpoint, ReceivedFragment};
use crate::fragments::FragmentCarrier;
pub use crate::fragments::{FRAGMENT_KINDS, FragmentError, MAX_BODY_BYTES};
use crate::frame::DropReason;
use crate::health_status::EjectionPolicy;
use crate::member::Member;
use crate::membership_table::MembershipTable;
use crate::observation_table::{ObservationTable, Process};
use crate::section::{FleetSection, micros};
pub use crate::summary::MembershipSummary;
use crate::token_bucket::TokenBucket;
use crate::view_comparison::Digest;
use crate::{Micros, SECOND, hash};
use anti_entropy::{SYNC_ANSWER_RATE, SYNC_REQUESTS};
use dissemination::PendingUpdate;
use ejections::Ejection;
use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, PostcardCodec, Timer};
use ipnet::IpNet;
use membership::{RunningMember, foca_config};
use observations::{OwnObservation, PUBLISH_BURST};
pub use peers::Peers;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Tick interval while there are updates to send or ejections to reassess, and otherwise.
pub const ACTIVE_TICK: Micros = SECOND / 10;
const IDLE_TICK: Micros = SECOND;
/// Number of members that receive each batch of updates.
const FANOUT: usize = 3;
/// Maximum time of an update on the network, in addition to the clock skew.
const MAX_TRANSIT_TIME: Micros = SECOND;
/// A tick that is delayed by more shows that this member, not the others, was unresponsive.
const LATE_WAKEUP: Micros = SECOND;
/// A member that finds more than this fraction of its recently used endpoints unhealthy, and at
/// least this number, is itself the likely cause.
const MAX_UNHEALTHY_FRACTION: f64 = 0.5;
const MIN_UNHEALTHY_TO_DOUBT: usize = 4;

/// A member of the fleet.
pub struct Core {
    cluster: String,
    networks: Vec<IpNet>,
    seeds: Vec<SocketAddr>,
    skew: Micros,
    observations_shared: bool,
    policy: EjectionPolicy,
    max_ejected: f64,
    identity: Member,
    origin: u64,
    zone: u64,
    sequence: u64,
    started_at: Micros,
    rng: SmallRng,
    foca: Foca<Member, PostcardCodec, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    timer_number: u64,
    next_tick: Micros,
    next_seed_announcement: Micros,
    members: BTreeMap<SocketAddr, RunningMember>,
    /// The addresses of `members`, for random choice.
    member_addresses: Vec<SocketAddr>,
    addresses_by_origin: HashMap<u64, SocketAddr>,
    members_per_zone: HashMap<u64, usize>,
    endpoints_by_name: HashMap<u64, ObservedEndpoint>,
    processes: HashMap<usize, Process>,
    ready: usize,
    table: ObservationTable,
    /// When all endpoints with observations are reassessed next.
    next_sweep: Micros,
    own_observations: HashMap<Process, OwnObservation>,
    publish_tokens: TokenBucket,
    sync_answer_tokens: TokenBucket,
    sync_requests: (u8, Micros),
    ignore_observations_until: Micros,
    ejected: BTreeMap<usize, Ejection>,
    pending_updates: VecDeque<PendingUpdate>,
    tracks_connectivity: bool,
    tracker: ConnectivityTracker,
    membership: MembershipTable,
    version: String,
    list_confirmed_at: Option<Micros>,
    /// Zone of each endpoint.
    endpoint_zones: HashMap<usize, u64>,
    digest: Option<Digest>,
    next_view: Micros,
    views_due: u8,
    last_probe_number: u8,
    fragments: FragmentCarrier,
    effects: Effects,
    counts: Counts,
}

impl Core {
    /// Creates a member that does not know any other. `incarnation` must be higher than in any
    /// earlier run.
    pub fn new(
        section: &FleetSection,
        name: &str,
        zone: &str,
        incarnation: u64,
        seed: u64,
        now: Micros,
    ) -> Self {
        let advertised_address = section.advertised_address();
        let identity = Member {
            address: advertised_address,
            name: name.to_owned(),
            zone: zone.to_owned(),
            incarnation,
        };
        let (origin, zone) = (hash(name), hash(zone));
        let foca = Foca::new(
            identity.clone(),
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
                .filter(|seed| *seed != advertised_address)
                .collect(),
            skew: micros(section.skew),
            observations_shared: ejection.enabled,
            policy: EjectionPolicy {
                max_staleness: micros(ejection.max_staleness),
                min_reporters: ejection.min_reporters,
                ejection_time: micros(ejection.ejection_time),
            },
            max_ejected: ejection.max_ejected,
            identity,
            origin,
            zone,
            sequence: 0,
            started_at: now,
            rng: SmallRng::seed_from_u64(seed ^ 0x6c70_6600),
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_number: 0,
            next_tick: now,
            next_seed_announcement: now,
            members: BTreeMap::new(),
            member_addresses: Vec::new(),
            addresses_by_origin: HashMap::new(),
            members_per_zone: HashMap::from([(zone, 1)]),
            endpoints_by_name: HashMap::new(),
            processes: HashMap::new(),
            ready: 0,
            table: ObservationTable::default(),
            next_sweep: now,
            own_observations: HashMap::new(),
            publish_tokens: TokenBucket::new(now, PUBLISH_BURST),
            sync_answer_tokens: TokenBucket::new(now, SYNC_ANSWER_RATE),
            sync_requests: (SYNC_REQUESTS, now),
            ignore_observations_until: Micros::MIN,
            ejected: BTreeMap::new(),
            pending_updates: VecDeque::new(),
            tracks_connectivity: section.connectivity.enabled,
            tracker: ConnectivityTracker::new(now),
            membership: MembershipTable::default(),
            version: String::new(),
            list_confirmed_at: None,
            endpoint_zones: HashMap::new(),
            digest: None,
            next_view: now,
            views_due: 0,
            last_probe_number: 0,
            fragments: FragmentCarrier::new(now),
            effects: Effects::default(),
            counts: Counts::default(),
        }
    }

    /// Returns when [`Core::tick`] is due next.
    pub fn next(&self) -> Micros {
        self.timers
            .first_key_value()
            .map_or(self.next_tick, |((at, _), _)| (*at).min(self.next_tick))
    }

    /// Returns the accumulated outputs; to be called after each input.
    pub fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    fn record_drop(&mut self, reason: DropReason) {
        self.counts.dropped[reason as usize] += 1;
    }

    fn send(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.effects.datagrams.push((to, bytes));
    }

    /// Runs everything that is due.
    pub fn tick(&mut self, now: Micros) {
        if self.tracks_connectivity {
            self.tracker.record_wakeup(now, self.next());
        }
        while let Some((&(at, number), _)) = self.timers.first_key_value()
            && at <= now
        {
            if let Some(timer) = self.timers.remove(&(at, number)) {
                // A timer that fired too late for its purpose is an error here; the next one starts
                // anew.
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
            }
        }
        self.run_membership_effects(now);
        if now < self.next_tick {
            return;
        }
        if now - self.next_tick > LATE_WAKEUP {
            self.ignore_observations_until = now + LATE_WAKEUP;
        }
        self.next_tick = now + IDLE_TICK;
        if now >= self.next_seed_announcement && !self.seeds.is_empty() {
            self.announce_to_seeds(now);
        }
        self.update_connectivity(now);
        if self.observations_shared {
            self.reassess_all(now);
            self.request_sync(now);
        }
        self.send_updates(now);
        self.publish_views(now);
        let has_sync_requests = self.observations_shared
            && self.sync_requests.0 > 0
            && !self.member_addresses.is_empty();
        if has_sync_requests
            || !self.pending_updates.is_empty()
            || !self.fragments.is_empty()
            || !self.ejected.is_empty()
        {
            self.schedule_active_tick(now);
        }
    }
}
