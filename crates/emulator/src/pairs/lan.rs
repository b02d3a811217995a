//! Members of two versions on one simulated network, where each reads what the others send.

use super::member::Session;
use super::part::Part;
use load_balancer_gossip::frame::DropReason;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// What came of it at one member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Came {
    /// Members that it knew before one of them left, and at the end.
    pub members: [usize; 2],
    /// Data of others that were new to it.
    pub heard: u64,
    /// What it dropped, by reason in the order of their numbers.
    pub dropped: Vec<u64>,
    /// Endpoints that it was told to rest.
    pub rested: BTreeSet<usize>,
    /// Different fragments that were carried to it.
    pub carried: BTreeSet<String>,
    /// All that it was told, line by line.
    pub told: Vec<String>,
}

/// Members of a run; the last one leaves before its end.
pub const MEMBERS: usize = 9;
/// Endpoints on the list; the first one fails.
const ENDPOINTS: usize = 10;
/// A kind of carried fragments that belongs to nobody.
const KIND: u8 = 190;

const SECOND: i64 = 1_000_000;
const BEGIN: i64 = 1_000_000 * SECOND;
/// How often members look at their clocks.
const STEP: i64 = SECOND / 10;
/// When all know each other, when the endpoint fails and for how long, when fragments are carried,
/// when one leaves, the end.
const FAILS: i64 = BEGIN + 8 * SECOND;
const FAILED: i64 = FAILS + 2 * SECOND;
const CARRIES: i64 = BEGIN + 12 * SECOND;
const LEAVES: i64 = BEGIN + 14 * SECOND;
const END: i64 = BEGIN + 18 * SECOND;
/// Part of the datagrams that is lost.
const LOST: f64 = 0.05;

/// Where a member is.
fn address(member: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, member as u8 + 1), 7946))
}

struct Lan {
    members: Vec<Part>,
    came: Vec<Came>,
    mail: BinaryHeap<Reverse<(i64, u64, usize, String)>>,
    number: u64,
    rng: fastrand::Rng,
    now: i64,
}

/// Runs a fleet whose member `n` is run by `programs[n]`, or is one of today where there is none.
///
/// # Errors
/// A program cannot be started, ends, or cannot read what it is told.
pub fn play(programs: &[Option<&Path>; MEMBERS], seed: u64) -> io::Result<Vec<Came>> {
    let member = |program: &Option<&Path>| match program {
        Some(program) => Part::of(program),
        None => {
            let mut session = Session::default();
            Ok(Part::here(move |line| session.line(line)))
        }
    };
    let members = programs.iter().map(member).collect::<io::Result<_>>()?;
    let came = vec![Came::default(); MEMBERS];
    let rng = fastrand::Rng::with_seed(seed);
    let mut lan = Lan {
        members,
        came,
        mail: BinaryHeap::new(),
        number: 0,
        rng,
        now: BEGIN,
    };
    let names: Vec<String> = (0..ENDPOINTS)
        .map(|endpoint| format!("s-{endpoint}"))
        .collect();
    for member in 0..MEMBERS {
        let zone = ["a", "b", "c"][member % 3];
        let seeds: Vec<String> = (0..3)
            .filter(|s| *s != member)
            .map(|seed| address(seed).to_string())
            .collect();
        let (now, own, chance) = (lan.now, address(member), lan.rng.u64(..));
        lan.ask(
            member,
            &format!(
                "start n{member} {zone} {now} {chance} {now} {own} {}",
                seeds.join(",")
            ),
        )?;
        lan.ask(member, &format!("list {now} {}", names.join(",")))?;
    }
    while lan.now < END {
        lan.step()?;
    }
    for member in 0..MEMBERS {
        lan.state(member, 1)?;
    }
    Ok(lan.came)
}

/// What is wrong with how a fleet went, whose members for which `old` holds are of an earlier
/// revision.
pub fn judge(came: &[Came], old: impl Fn(usize) -> bool) -> Vec<String> {
    let newer: Vec<usize> = (0..came.len()).filter(|m| !old(*m)).collect();
    let mut wrong = Vec::new();
    for (member, c) in came.iter().enumerate() {
        let mut find = |what: &str| {
            wrong.push(format!(
                "member {member} {what}: {}",
                sum(&came[member..=member])
            ))
        };
        // The one that leaves has no say at the end.
        let all = came.len() - 1;
        if c.members[0] != all || (member != all && c.members[1] != all - 1) {
            find("does not know who is there");
        }
        if !c.rested.contains(&0) || c.rested.len() > 1 || c.heard == 0 {
            find("does not rest what the others found sick");
        }
        // What cannot be read; a kind that is not known is for earlier members only. Other reasons,
        // such as news from who is not known yet, are no matter of versions.
        let unread = [
            DropReason::TooLong,
            DropReason::Malformed,
            DropReason::Version,
            DropReason::Cluster,
            DropReason::Forged,
        ];
        let count = |why: DropReason| c.dropped.get(why as usize).copied().unwrap_or(0);
        if unread.into_iter().any(|why| count(why) > 0)
            || (!old(member) && count(DropReason::Kind) > 0)
        {
            find("cannot read what it should");
        }
        let others = newer.iter().filter(|other| **other != member);
        if !old(member)
            && !others
                .clone()
                .all(|m| c.carried.contains(&format!("{m:02x}")))
        {
            find("misses pieces that were carried");
        }
    }
    wrong
}

/// It all in a line: for each member, whom it knew, what it heard, dropped and was handed.
pub fn sum(came: &[Came]) -> String {
    let of = |c: &Came| {
        let (members, dropped) = (c.members, &c.dropped);
        format!(
            "{members:?} heard {} dropped {dropped:?} carried {}",
            c.heard,
            c.carried.len()
        )
    };
    came.iter().map(of).collect::<Vec<_>>().join("; ")
}

impl Lan {
    fn step(&mut self) -> io::Result<()> {
        let until = self.now + STEP;
        while self
            .mail
            .peek()
            .is_some_and(|Reverse((at, ..))| *at < until)
        {
            let Some(Reverse((at, _, to, line))) = self.mail.pop() else {
                break;
            };
            self.now = at;
            self.ask(to, &format!("datagram {at} {line}"))?;
        }
        self.now = until;
        for member in 0..MEMBERS {
            let now = self.now;
            self.ask(member, &format!("tick {now}"))?;
            if (FAILS..FAILED).contains(&now) && self.rng.f64() < 0.2 {
                self.ask(member, &format!("witness {now} 0 0"))?;
            }
            if now == CARRIES {
                self.ask(member, &format!("carry {now} {KIND} {:02x}", member))?;
            }
            if now == LEAVES {
                self.state(member, 0)?;
            }
        }
        if self.now == LEAVES {
            let now = self.now;
            self.ask(MEMBERS - 1, &format!("leave {now}"))?;
        }
        Ok(())
    }

    fn ask(&mut self, member: usize, line: &str) -> io::Result<()> {
        self.came[member].told.push(line.to_owned());
        for answer in self.members[member].ask(line)? {
            let words: Vec<&str> = answer.split(' ').collect();
            match words[..] {
                ["datagram", to, hex] => self.post(member, to, hex),
                ["word", endpoint, rest] if rest != "No" => {
                    self.came[member].rested.extend(endpoint.parse::<usize>());
                }
                ["carried", _, hex] => drop(self.came[member].carried.insert(hex.to_owned())),
                _ => {}
            }
        }
        Ok(())
    }

    fn post(&mut self, from: usize, to: &str, hex: &str) {
        let places: BTreeMap<String, usize> =
            (0..MEMBERS).map(|m| (address(m).to_string(), m)).collect();
        let (lost, delay) = (self.rng.f64() < LOST, self.rng.i64(200..5000));
        if let Some(to) = places.get(to).filter(|_| !lost) {
            self.number += 1;
            let line = format!("{} {hex}", address(from));
            self.mail
                .push(Reverse((self.now + delay, self.number, *to, line)));
        }
    }

    fn state(&mut self, member: usize, place: usize) -> io::Result<()> {
        let answers = self.members[member].ask("state")?;
        let words: Vec<&str> = answers
            .iter()
            .flat_map(|answer| answer.split(' '))
            .collect();
        let ["state", members, _, heard, dropped] = words[..] else {
            return Err(io::Error::other("no state was answered"));
        };
        let number = |word: &str| word.parse::<u64>().map_err(io::Error::other);
        let came = &mut self.came[member];
        came.members[place] = number(members)? as usize;
        came.heard = number(heard)?;
        came.dropped = dropped.split(',').map(number).collect::<io::Result<_>>()?;
        Ok(())
    }
}
