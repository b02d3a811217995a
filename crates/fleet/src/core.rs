//! A member as one state machine without I/O and clock: datagrams, evidence of its own, the list and the time go in;
//! datagrams and words for the decision module come out. Changes with how those belong together.
//!
//! News spread by rumour: what is new to a member it passes on to a few members drawn at random, a fixed number of times
//! (Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987, section 1.4). So a member sends
//! no more in a large fleet than in a small one.

use crate::evidence::{Datum, Merged, Process, Sign, Table};
use crate::frame::{self, ASK, Content, Dropped, EVIDENCE, Head, LONGEST, Piece, REASONS};
use crate::member::Member;
use crate::section::{FleetSection, micros};
use crate::verdict::{Rest, Slot, Weighed, Weights, chosen, slot, weigh};
use crate::{Micros, SECOND, hash};
use foca::{AccumulatingRuntime, Foca, Header, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use ipnet::IpNet;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// How often news leave and verdicts are looked at, while there are any; and how often a member wakes up else.
pub const TICK: Micros = SECOND / 10;
const IDLE_TICK: Micros = SECOND;
/// Members that a piece of news is passed on to at a time, and in all: of those who hear of it one in 400 is missed by
/// nine draws without loss, one in 500 with three draws in ten lost and repeats by others (e to the minus nine or six).
const FANOUT: usize = 3;
const SENDS: u8 = 9;
/// News that wait to be passed on; the oldest make room.
const MOST_NEWS: usize = 512;
/// Evidence that a member gives on its own, a second and at once.
const OWN_RATE: f64 = 20.0;
const OWN_BURST: f64 = 40.0;
/// Data of one sign from one zone from which on a further one is not passed on: a verdict needs no more.
const ENOUGH: usize = 4;
/// How long news may be under way; the skew of clocks comes on top.
const UNDER_WAY: Micros = SECOND;
/// How often a member that has just come asks some others for what they know, and its pause between.
const ASKS: u8 = 3;
const ASK_PAUSE: Micros = SECOND / 2;
/// Datagrams of one answer to that, and answers a second and at once.
const ANSWER: usize = 2;
const ANSWER_RATE: f64 = 20.0;
/// How often the seeds are asked while nobody is known.
const SEEDS: Micros = SECOND;
/// How often they are asked all the same, so that two parts of a fleet that lost each other for long find together.
const SEEDS_AGAIN: Micros = 20 * SECOND;
/// A member that wakes up this much later than it wanted has not seen others' silence but its own.
const OVERSLEPT: Micros = SECOND;
/// Part of the endpoints that one member has seen of late, and their least number, beyond which those it finds sick say
/// more of itself.
const DOUBTED: f64 = 0.5;
const DOUBTED_LEAST: usize = 4;
/// Endpoints that are followed at most.
const MOST_ENDPOINTS: usize = 4096;

/// An endpoint of the own list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its number at this member.
    pub endpoint: usize,
    /// Its name.
    pub name: String,
    /// When its process started, where that is not long ago.
    pub started: Option<Micros>,
    /// It takes requests.
    pub ready: bool,
}

/// What the decision module is told of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// Its number.
    pub endpoint: usize,
    /// What others' word makes of it.
    pub rest: Rest,
    /// From then on it counts as never heard.
    pub until: Micros,
}

/// What is to be done.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Datagrams, and where they go.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// What is new for the decision module.
    pub words: Vec<Word>,
}

/// What it has done so far.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Datagrams that came.
    pub received: u64,
    /// Evidence given by this member.
    pub said: u64,
    /// Evidence of others that was new.
    pub heard: u64,
    /// Trials that fell to this member.
    pub trials: u64,
    /// Verdicts that sent an endpoint to rest.
    pub rests: u64,
    /// What was dropped, by reason, in the order of [`REASONS`]; the census names them.
    #[serde(skip)]
    pub dropped: [u64; REASONS.len()],
}

struct Known {
    member: Member,
    origin: u64,
    zone: u64,
    since: Micros,
}

struct Own {
    sign: Sign,
    at: Micros,
    said: Option<(Sign, Micros)>,
}

struct Resting {
    process: Process,
    since: Micros,
    rest: Rest,
    until: Micros,
    /// Who makes the trial of that slot.
    chosen: (Slot, [Option<u64>; 2]),
    /// Zones that have found it sick.
    zones: Vec<u64>,
}

struct News {
    datum: Datum,
    left: u8,
}

/// So many a second, and so many at once.
struct Tokens {
    left: f64,
    at: Micros,
}

impl Tokens {
    fn take(&mut self, now: Micros, rate: f64, most: f64) -> bool {
        let gained = (now - self.at).max(0) as f64 / SECOND as f64 * rate;
        (self.left, self.at) = ((self.left + gained).min(most), now);
        let has = self.left >= 1.0;
        self.left -= f64::from(u8::from(has));
        has
    }
}

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
    sick_by: HashMap<u64, usize>,
    own: HashMap<Process, Own>,
    tokens: Tokens,
    answers: Tokens,
    asks: (u8, Micros),
    overslept_until: Micros,
    resting: BTreeMap<usize, Resting>,
    news: VecDeque<News>,
    effects: Effects,
    counts: Counts,
}

fn foca_config(section: &FleetSection) -> foca::Config {
    let mut config = foca::Config::new_lan(NonZeroU32::new(section.members).unwrap_or(NonZeroU32::MIN));
    let usize_of = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    config.max_packet_size = usize_of(LONGEST - MOST_HEAD);
    // Four probes: with three datagrams in ten lost, hardly anybody is taken for dead who is not.
    config.suspect_to_down_after = Duration::from_secs(4);
    config.probe_rtt = Duration::from_millis(400);
    // A cut that heals is found out within some seconds, at the cost of two datagrams in that time.
    config.periodic_announce_to_down_members =
        Some(foca::PeriodicParams { frequency: Duration::from_secs(5), num_members: usize_of(2) });
    config.periodic_announce =
        Some(foca::PeriodicParams { frequency: Duration::from_secs(30), num_members: usize_of(1) });
    config.remove_down_after = Some(Duration::from_secs(600));
    config.max_transmissions = config.max_transmissions.max(NonZeroU8::new(6).unwrap_or(NonZeroU8::MIN));
    config
}

/// Room that a datagram's beginning takes at most: marks, the longest name of a fleet, a time.
const MOST_HEAD: usize = 64;

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
        let me = Member { address, name: name.to_owned(), zone: zone.to_owned(), incarnation };
        let (origin, zone) = (hash(name), hash(zone));
        let foca = Foca::new(me.clone(), foca_config(section), SmallRng::seed_from_u64(seed), PostcardCodec);
        let v = &section.verdicts;
        Self {
            cluster: section.cluster.clone(),
            networks: section.networks.clone(),
            seeds: section.seeds.iter().copied().filter(|seed| *seed != address).collect(),
            skew: micros(section.skew),
            verdicts: v.enabled,
            weights: Weights { bound: micros(v.bound), witnesses: v.witnesses, rest: micros(v.rest) },
            most_out: v.most_out,
            me,
            origin,
            zone,
            sequence: 0,
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
            sick_by: HashMap::new(),
            own: HashMap::new(),
            tokens: Tokens { left: OWN_BURST, at: now },
            answers: Tokens { left: ANSWER_RATE, at: now },
            asks: (ASKS, now),
            overslept_until: Micros::MIN,
            resting: BTreeMap::new(),
            news: VecDeque::new(),
            effects: Effects::default(),
            counts: Counts::default(),
        }
    }

    /// When [`Core::tick`] is due next.
    pub fn next(&self) -> Micros {
        self.timers.first_key_value().map_or(self.next_tick, |((at, _), _)| (*at).min(self.next_tick))
    }

    /// What came of it so far; to be taken after each call.
    pub fn effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    fn drop_one(&mut self, why: Dropped) {
        self.counts.dropped[why as usize] += 1;
    }

    // ---- Datagrams ----

    fn send(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.effects.datagrams.push((to, bytes));
    }

    /// A datagram came from there.
    pub fn datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.counts.received += 1;
        let known = self.networks.iter().any(|net| net.contains(&from.ip())) || self.seeds.contains(&from);
        if !known {
            return self.drop_one(Dropped::Unknown);
        }
        let (head, content) = match frame::read(bytes, &self.cluster) {
            Ok(read) => read,
            Err(why) => return self.drop_one(why),
        };
        match head.content {
            Content::Membership => self.membership(now, from, content),
            Content::News => {
                let late = now.saturating_sub(head.sent);
                if late < -self.skew || late > self.skew + UNDER_WAY {
                    return self.drop_one(Dropped::Clock);
                }
                if !self.members.contains_key(&from) {
                    return self.drop_one(Dropped::Unknown);
                }
                for piece in frame::pieces(content) {
                    match piece {
                        Ok(Piece { kind: EVIDENCE, bytes }) => match postcard::from_bytes::<Datum>(bytes) {
                            Ok(datum) => self.heard(now, datum),
                            Err(_) => self.drop_one(Dropped::Malformed),
                        },
                        Ok(Piece { kind: ASK, .. }) => self.answer(now, from),
                        Ok(_) => self.drop_one(Dropped::Kind),
                        Err(why) => self.drop_one(why),
                    }
                }
            }
        }
    }

    // ---- Membership ----

    fn membership(&mut self, now: Micros, from: SocketAddr, content: &[u8]) {
        // Whoever speaks is who it says it is: else one could speak for all.
        match postcard::take_from_bytes::<Header<Member>>(content) {
            Ok((header, _)) if header.src.address == from => {}
            Ok(_) => return self.drop_one(Dropped::Unknown),
            Err(_) => return self.drop_one(Dropped::Malformed),
        }
        if self.foca.handle_data(content, &mut self.runtime).is_err() {
            self.drop_one(Dropped::Malformed);
        }
        self.follow(now);
    }

    /// Carries out what foca wants.
    fn follow(&mut self, now: Micros) {
        while let Some((to, content)) = self.runtime.to_send() {
            let head = Head { cluster: &self.cluster, sent: now, content: Content::Membership };
            let mut bytes = frame::begin(&head);
            bytes.extend_from_slice(&content);
            self.send(to.address, bytes);
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer_number += 1;
            let after = Micros::try_from(after.as_micros()).unwrap_or(SECOND);
            self.timers.insert((now.saturating_add(after), self.timer_number), timer);
        }
        while let Some(told) = self.runtime.to_notify() {
            match told {
                OwnedNotification::MemberUp(member) => self.up(now, member),
                OwnedNotification::MemberDown(member) => self.down(&member.address),
                OwnedNotification::Rename(old, new) => {
                    if self.members.contains_key(&old.address) {
                        self.up(now, new);
                    }
                }
                OwnedNotification::Rejoin(me) => self.me = me,
                OwnedNotification::Active | OwnedNotification::Idle | OwnedNotification::Defunct => {}
            }
        }
    }

    fn up(&mut self, now: Micros, member: Member) {
        self.down(&member.address);
        let (address, origin, zone) = (member.address, hash(&member.name), hash(&member.zone));
        self.members.insert(address, Known { member, origin, zone, since: now });
        self.drawn.push(address);
        self.by_origin.insert(origin, address);
        *self.in_zone.entry(zone).or_default() += 1;
    }

    fn down(&mut self, address: &SocketAddr) {
        let Some(known) = self.members.remove(address) else { return };
        self.drawn.retain(|a| a != address);
        if self.by_origin.get(&known.origin) == Some(address) {
            self.by_origin.remove(&known.origin);
        }
        if let Some(count) = self.in_zone.get_mut(&known.zone) {
            *count -= 1;
        }
    }

    fn ask_seeds(&mut self, now: Micros) {
        self.next_ask = now + if self.members.is_empty() { SEEDS } else { SEEDS_AGAIN };
        // A start asks a few at once; later on one is enough.
        let count = if self.members.is_empty() { FANOUT } else { 1 };
        for _ in 0..count.min(self.seeds.len()) {
            let seed = self.seeds[self.rng.random_range(0..self.seeds.len())];
            // What cannot be sent now is sent at the next turn.
            let _ = self.foca.announce(Member::at(seed), &mut self.runtime);
        }
        self.follow(now);
    }

    /// Takes members as known to run, without telling others of them: what was known before, or is known from elsewhere.
    pub fn recall(&mut self, now: Micros, members: impl Iterator<Item = Member>) {
        let alive = members.map(foca::Member::alive);
        // Who does not run is found out as anyone is.
        let _ = self.foca.apply_many(alive, false, &mut self.runtime);
        self.follow(now);
    }

    /// Tells others that this member leaves.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.follow(now);
    }

    // ---- The list ----

    /// The own list as it is now: others' word counts only for what it names.
    pub fn listed(&mut self, now: Micros, list: Vec<Listed>) {
        self.listed.clear();
        self.processes.clear();
        self.ready = list.iter().filter(|l| l.ready).count();
        for entry in list.into_iter().take(MOST_ENDPOINTS) {
            let name = hash(&entry.name);
            self.processes.insert(entry.endpoint, Process { name, started: entry.started.unwrap_or(0) });
            self.listed.insert(name, entry);
        }
        let processes = &self.processes;
        self.own.retain(|process, _| processes.values().any(|p| p == process));
        let gone: Vec<usize> = self
            .resting
            .iter()
            .filter(|(endpoint, r)| self.processes.get(endpoint) != Some(&r.process))
            .map(|(endpoint, _)| *endpoint)
            .collect();
        for endpoint in gone {
            self.resting.remove(&endpoint);
            self.effects.words.push(Word { endpoint, rest: Rest::No, until: now });
        }
    }

    // ---- Evidence ----

    /// This member was served by an endpoint, or was not.
    pub fn witness(&mut self, now: Micros, endpoint: usize, sign: Sign) {
        let Some(process) = self.processes.get(&endpoint).copied().filter(|_| self.verdicts) else { return };
        if now < self.overslept_until {
            return;
        }
        let own = self.own.entry(process).or_insert(Own { sign, at: now, said: None });
        (own.sign, own.at) = (sign, now);
        let said = own.said.is_some_and(|(what, at)| what == sign && now - at < self.weights.rest);
        let resting = self.resting.contains_key(&endpoint);
        let fresh = |d: &&Datum| now - d.seen < self.weights.bound;
        let zone = self.zone;
        let alike = |sign: Sign| {
            let here = self.table.of(process).filter(|(of, _)| *of == zone);
            here.flat_map(|(_, data)| data).filter(fresh).filter(|d| d.sign == sign).count()
        };
        let worth_saying = match sign {
            Sign::Sick => resting || alike(Sign::Sick) <= ENOUGH,
            // Nobody doubts it where nobody found it sick, and two who were served since are enough.
            Sign::Well => {
                let here = || {
                    let here = self.table.of(process).filter(|(of, _)| *of == zone || resting);
                    here.flat_map(|(_, data)| data).filter(fresh)
                };
                let sick = here().filter(|d| d.sign == Sign::Sick).map(|d| d.seen).max();
                sick.is_some_and(|sick| here().filter(|d| d.sign == Sign::Well && d.seen > sick).count() < 2)
            }
        };
        if said
            || !worth_saying
            || (sign == Sign::Sick && self.doubts_itself(now))
            || !self.tokens.take(now, OWN_RATE, OWN_BURST)
        {
            return self.look(now, endpoint);
        }
        if let Some(own) = self.own.get_mut(&process) {
            own.said = Some((sign, now));
        }
        self.sequence += 1;
        self.counts.said += 1;
        let datum = Datum {
            origin: self.origin,
            incarnation: self.me.incarnation,
            sequence: self.sequence,
            zone: self.zone,
            seen: now,
            process,
            sign,
        };
        self.table.merge(datum);
        self.pass_on(now, datum);
        self.look(now, endpoint);
    }

    /// It finds most of what it has tried of late sick: likely the fault lies with itself.
    fn doubts_itself(&self, now: Micros) -> bool {
        let fresh = || self.own.values().filter(|own| now - own.at < self.weights.bound);
        let sick = fresh().filter(|own| own.sign == Sign::Sick).count();
        sick >= DOUBTED_LEAST && sick as f64 > DOUBTED * fresh().count() as f64
    }

    fn heard(&mut self, now: Micros, datum: Datum) {
        if datum.origin == self.origin {
            // What an earlier life saw is as good as another's.
            if datum.incarnation >= self.me.incarnation && datum.sequence > self.sequence {
                self.drop_one(Dropped::Forged);
            }
            return;
        }
        if datum.seen > now + self.skew {
            return self.drop_one(Dropped::Clock);
        }
        if now - datum.seen >= self.weights.bound {
            return self.drop_one(Dropped::Stale);
        }
        let Some((endpoint, started)) =
            self.listed.get(&datum.process.name).map(|l| (l.endpoint, l.started.unwrap_or(0)))
        else {
            return self.drop_one(Dropped::Unlisted);
        };
        if datum.process.started < started {
            return self.drop_one(Dropped::Unlisted);
        }
        match self.table.merge(datum) {
            Merged::New { alike } => {
                self.counts.heard += 1;
                if alike < ENOUGH {
                    self.pass_on(now, datum);
                }
                self.look(now, endpoint);
            }
            Merged::Known => {}
            Merged::Full => self.drop_one(Dropped::Full),
        }
    }

    fn pass_on(&mut self, now: Micros, datum: Datum) {
        self.news.retain(|n| {
            (n.datum.origin, n.datum.process, n.datum.zone) != (datum.origin, datum.process, datum.zone)
        });
        if self.news.len() >= MOST_NEWS {
            self.news.pop_front();
            self.drop_one(Dropped::Full);
        }
        self.news.push_back(News { datum, left: SENDS });
        self.wake(now);
    }

    /// There is something to do: the next beat comes soon.
    fn wake(&mut self, now: Micros) {
        self.next_tick = self.next_tick.min(now + TICK);
    }

    /// Passes on news: the ones that left least often come first.
    fn gossip(&mut self, now: Micros) {
        self.news.retain(|n| n.left > 0 && now - n.datum.seen < self.weights.bound);
        if self.news.is_empty() || self.drawn.is_empty() {
            return;
        }
        for _ in 0..FANOUT.min(self.drawn.len()) {
            let to = self.drawn[self.rng.random_range(0..self.drawn.len())];
            self.news.make_contiguous().sort_by_key(|n| Reverse(n.left));
            let head = Head { cluster: &self.cluster, sent: now, content: Content::News };
            let mut bytes = frame::begin(&head);
            let mut any = false;
            for news in self.news.iter_mut().filter(|n| n.left > 0) {
                let Ok(datum) = postcard::to_stdvec(&news.datum) else { continue };
                if !frame::add(&mut bytes, &Piece { kind: EVIDENCE, bytes: &datum }) {
                    break;
                }
                news.left -= 1;
                any = true;
            }
            if any {
                self.send(to, bytes);
            }
        }
    }

    /// Asks a few members for what they know, as one that has just come knows nothing.
    fn ask(&mut self, now: Micros) {
        let (left, next) = self.asks;
        if left == 0 || now < next || self.drawn.is_empty() {
            return;
        }
        self.asks = (left - 1, now + ASK_PAUSE);
        for _ in 0..FANOUT {
            let to = self.drawn[self.rng.random_range(0..self.drawn.len())];
            let mut bytes = frame::begin(&Head { cluster: &self.cluster, sent: now, content: Content::News });
            if frame::add(&mut bytes, &Piece { kind: ASK, bytes: &[] }) {
                self.send(to, bytes);
            }
        }
    }

    /// Tells one that has just come of the endpoints that members have found sick, the newest first.
    fn answer(&mut self, now: Micros, to: SocketAddr) {
        if !self.answers.take(now, ANSWER_RATE, ANSWER_RATE) {
            return self.drop_one(Dropped::Full);
        }
        let mut data: Vec<Datum> = Vec::new();
        for process in self.table.processes() {
            let of: Vec<Datum> = self.table.of(process).flat_map(|(_, data)| data).copied().collect();
            if of.iter().any(|d| d.sign == Sign::Sick) {
                data.extend(of);
            }
        }
        data.sort_by_key(|d| Reverse(d.seen));
        let mut data = data.into_iter().peekable();
        for _ in 0..ANSWER {
            let mut bytes = frame::begin(&Head { cluster: &self.cluster, sent: now, content: Content::News });
            let mut any = false;
            while let Some(datum) = data.peek() {
                let Ok(piece) = postcard::to_stdvec(datum) else { break };
                if !frame::add(&mut bytes, &Piece { kind: EVIDENCE, bytes: &piece }) {
                    break;
                }
                data.next();
                any = true;
            }
            if any {
                self.send(to, bytes);
            }
        }
    }

    // ---- Verdicts ----

    fn weighed(&self, now: Micros, process: Process, rests: Option<&[u64]>) -> Weighed {
        let doubted = |origin: u64| {
            let sick = self.sick_by.get(&origin).copied().unwrap_or(0);
            sick >= DOUBTED_LEAST && sick as f64 > DOUBTED * self.ready as f64
        };
        let counts = |d: &Datum| {
            if d.origin == self.origin {
                return true;
            }
            // Only who is a member now, and in the zone that it speaks for.
            let known = self.by_origin.get(&d.origin).and_then(|address| self.members.get(address));
            known.is_some_and(|k| k.zone == d.zone) && !doubted(d.origin)
        };
        let members = |zone: u64| self.in_zone.get(&zone).copied().unwrap_or(0);
        weigh(self.table.of(process), now, self.zone, rests, &self.weights, counts, members)
    }

    /// Looks at an endpoint anew, and tells the module where that changes something.
    fn look(&mut self, now: Micros, endpoint: usize) {
        let Some(process) = self.processes.get(&endpoint).copied() else { return };
        let was = self.resting.get(&endpoint).filter(|r| r.process == process);
        let weighed = self.weighed(now, process, was.map(|r| r.zones.as_slice()));
        let most = (self.most_out * self.ready as f64) as usize;
        if !weighed.sick || weighed.until <= now || (was.is_none() && self.resting.len() >= most) {
            if was.is_some() {
                self.resting.remove(&endpoint);
                let rest = if weighed.served { Rest::Over } else { Rest::No };
                self.effects.words.push(Word { endpoint, rest, until: now + self.weights.rest });
            }
            return;
        }
        let since = was.map_or(now, |r| r.since);
        let slot = slot(now, since, &weighed, &self.weights);
        let none = (Slot { from: 0, length: 0 }, [None; 2]);
        let chosen = match (slot, was) {
            (None, was) => was.map_or(none, |r| r.chosen),
            (Some(slot), Some(r)) if r.chosen.0 == slot => r.chosen,
            (Some(slot), _) => {
                let others =
                    self.members.values().filter(|k| weighed.zones.contains(&k.zone)).map(|k| k.origin);
                (slot, chosen(process, slot, others.chain(std::iter::once(self.origin))))
            }
        };
        let trial = slot.is_some_and(|slot| {
            // The second one comes in where nothing was heard of the first.
            let late = now >= slot.from + slot.length / 2;
            let untried = weighed.newest.is_none_or(|(_, seen)| seen < slot.from);
            let mine = |n: usize| chosen.1[n] == Some(self.origin);
            let own = self.own.get(&process).map_or(Micros::MIN, |own| own.at);
            own < slot.from && untried && (mine(0) || (late && mine(1)))
        });
        let rest = if trial { Rest::Trial } else { Rest::Yes };
        let until = weighed.until;
        let changed = was.is_none_or(|r| r.rest != rest || until - r.until >= self.weights.rest);
        if changed {
            self.counts.rests += u64::from(was.is_none());
            self.counts.trials += u64::from(trial);
            self.effects.words.push(Word { endpoint, rest, until });
            let zones = weighed.zones;
            self.wake(now);
            self.resting.insert(endpoint, Resting { process, since, rest, until, chosen, zones });
        } else if let Some(r) = self.resting.get_mut(&endpoint) {
            r.chosen = chosen;
        }
    }

    /// Time has come.
    pub fn tick(&mut self, now: Micros) {
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
        if !self.verdicts {
            return;
        }
        self.table.drop_before(now - self.weights.bound);
        self.sick_by.clear();
        for process in self.table.processes().collect::<Vec<_>>() {
            for datum in self.table.of(process).flat_map(|(_, data)| data).filter(|d| d.sign == Sign::Sick) {
                *self.sick_by.entry(datum.origin).or_default() += 1;
            }
        }
        let mut looked: Vec<usize> = self.resting.keys().copied().collect();
        looked.extend(self.table.processes().filter_map(|p| self.listed.get(&p.name)).map(|l| l.endpoint));
        looked.sort_unstable();
        looked.dedup();
        for endpoint in looked {
            self.look(now, endpoint);
        }
        self.ask(now);
        self.gossip(now);
        let asks = self.asks.0 > 0 && !self.drawn.is_empty();
        if asks || !self.news.is_empty() || !self.resting.is_empty() {
            self.wake(now);
        }
    }

    // ---- What people read ----

    /// Members that are known to run, this one not counted.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// What it has done so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Endpoints that rest by others' word.
    pub fn resting(&self) -> impl Iterator<Item = usize> {
        self.resting.keys().copied()
    }

    /// All that on-call wants to see.
    pub fn census(&self, now: Micros) -> Census {
        let seconds = |us: Micros| (us as f64 / SECOND as f64 * 1000.0).round() / 1000.0;
        let name_of = |origin: u64| match self.by_origin.get(&origin).and_then(|a| self.members.get(a)) {
            Some(known) => known.member.name.clone(),
            None if origin == self.origin => self.me.name.clone(),
            None => format!("{origin:016x}"),
        };
        let member = |member: &Member, since: Option<Micros>| MemberCensus {
            name: member.name.clone(),
            zone: member.zone.clone(),
            address: member.address,
            incarnation: member.incarnation,
            known_for_s: since.map(|since| seconds(now - since)),
        };
        let rests = self.resting.iter().filter_map(|(endpoint, r)| {
            let listed = self.listed.values().find(|l| l.endpoint == *endpoint)?;
            let witnesses = self.table.of(r.process).flat_map(|(_, data)| data);
            Some(RestCensus {
                endpoint: listed.name.clone(),
                trial: r.rest == Rest::Trial,
                rests_for_s: seconds(now - r.since),
                lapses_in_s: seconds(r.until - now),
                evidence: witnesses
                    .map(|d| EvidenceCensus {
                        member: name_of(d.origin),
                        sign: d.sign,
                        age_s: seconds(now - d.seen),
                    })
                    .collect(),
            })
        });
        Census {
            cluster: self.cluster.clone(),
            me: member(&self.me, None),
            doubts_itself: self.doubts_itself(now),
            members: self.members.values().map(|k| member(&k.member, Some(k.since))).collect(),
            rests: rests.collect(),
            evidence: self.table.len(),
            dropped: REASONS.iter().map(|why| why.word()).zip(self.counts.dropped).collect(),
            counts: self.counts.clone(),
        }
    }
}

/// What `GET /fleet` shows.
#[derive(Clone, Debug, Serialize)]
pub struct Census {
    /// The fleet.
    pub cluster: String,
    /// This member.
    pub me: MemberCensus,
    /// It finds most endpoints sick and says so to nobody.
    pub doubts_itself: bool,
    /// The others that run.
    pub members: Vec<MemberCensus>,
    /// Endpoints that rest by others' word, and why.
    pub rests: Vec<RestCensus>,
    /// Evidence held.
    pub evidence: usize,
    /// What was dropped, by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    /// What it has done so far.
    pub counts: Counts,
}

/// A member in it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberCensus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: u64,
    /// For how long it is known to run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub known_for_s: Option<f64>,
}

/// An endpoint that rests.
#[derive(Clone, Debug, Serialize)]
pub struct RestCensus {
    /// Its name.
    pub endpoint: String,
    /// This member may try it now.
    pub trial: bool,
    /// For how long.
    pub rests_for_s: f64,
    /// When that ends, where nothing more is heard.
    pub lapses_in_s: f64,
    /// Who said what.
    pub evidence: Vec<EvidenceCensus>,
}

/// What somebody said.
#[derive(Clone, Debug, Serialize)]
pub struct EvidenceCensus {
    /// Who.
    pub member: String,
    /// What.
    pub sign: Sign,
    /// How long ago it was seen.
    pub age_s: f64,
}
