//! A member as one state machine without I/O and clock: datagrams, its own health observations, the
//! endpoint list and the time go in; datagrams and ejections come out.

mod answers;
mod ask;
mod carry;
mod inbound;
mod judge;
mod membership;
mod news;
mod others;
mod report;
mod standing;
mod witness;

use crate::carrier::Carrier;
pub use crate::carrier::{CARRIED, LONGEST_BODY, NotCarried};
pub use crate::census::Census;
pub use crate::effects::{Carried, Counts, Effects, Listed, Word};
use crate::evidence::{Process, Table};
use crate::frame::Dropped;
use crate::member::Member;
use crate::roster::Roster;
use crate::section::{FleetSection, micros};
use crate::standing_views::Digest;
use crate::standing_watch::Watch;
use crate::tokens::Tokens;
use crate::verdict::Weights;
use crate::{Micros, SECOND, hash};
use ask::{ANSWER_RATE, ASKS};
use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, PostcardCodec, Timer};
use ipnet::IpNet;
use judge::Resting;
use membership::{Known, foca_config};
use news::News;
pub use others::Others;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use witness::{OWN_BURST, Own};

/// How often news leave and verdicts are looked at, while there are any; and how often a member wakes up else.
pub const TICK: Micros = SECOND / 10;
const IDLE_TICK: Micros = SECOND;
/// Members that are told something at a time.
const FANOUT: usize = 3;
/// How long news may be under way; the skew of clocks comes on top.
const UNDER_WAY: Micros = SECOND;
/// A member that wakes up this much later than it wanted has not seen others' silence but its own.
const OVERSLEPT: Micros = SECOND;
/// Part of the endpoints that one member has seen of late, and their least number, beyond which those it finds sick say
/// more of itself.
const DOUBTED: f64 = 0.5;
const DOUBTED_LEAST: usize = 4;

/// A member.
pub struct Core {
    cluster: String,
    networks: Vec<IpNet>,
    seeds: Vec<SocketAddr>,
    skew: Micros,
    verdicts: bool,
    weights: Weights,
    most_out: f64,
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
    own: HashMap<Process, Own>,
    tokens: Tokens,
    answers: Tokens,
    asks: (u8, Micros),
    overslept_until: Micros,
    resting: BTreeMap<usize, Resting>,
    news: VecDeque<News>,
    stands: bool,
    watch: Watch,
    roster: Roster,
    version: String,
    list_seen: Option<Micros>,
    /// Zones of endpoints, by their numbers.
    placed: HashMap<usize, u64>,
    digest: Option<Digest>,
    next_view: Micros,
    views_due: u8,
    asked: u8,
    carrier: Carrier,
    effects: Effects,
    counts: Counts,
}

impl Core {
    /// A member that knows nobody yet. `incarnation` must be higher than that of any earlier life.
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
        let v = &section.verdicts;
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
            verdicts: v.enabled,
            weights: Weights {
                bound: micros(v.bound),
                witnesses: v.witnesses,
                rest: micros(v.rest),
            },
            most_out: v.most_out,
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
            tokens: Tokens::new(now, OWN_BURST),
            answers: Tokens::new(now, ANSWER_RATE),
            asks: (ASKS, now),
            overslept_until: Micros::MIN,
            resting: BTreeMap::new(),
            news: VecDeque::new(),
            stands: section.standing.enabled,
            watch: Watch::new(now),
            roster: Roster::default(),
            version: String::new(),
            list_seen: None,
            placed: HashMap::new(),
            digest: None,
            next_view: now,
            views_due: 0,
            asked: 0,
            carrier: Carrier::new(now),
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
        if self.stands {
            self.watch.woke(now, self.next());
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
        self.stand(now);
        if self.verdicts {
            self.look_at_all(now);
            self.ask(now);
        }
        self.gossip(now);
        self.tell_views(now);
        let asks = self.verdicts && self.asks.0 > 0 && !self.drawn.is_empty();
        if asks || !self.news.is_empty() || !self.carrier.is_empty() || !self.resting.is_empty() {
            self.wake(now);
        }
    }
}
