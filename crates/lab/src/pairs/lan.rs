//! Members of two versions on one simulated network: all that one says is read by the other. Changes with what such a
//! fleet goes through.

use super::member::Session;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// A member: of today, or one that an earlier revision's program plays.
enum Member {
    Here(Box<Session>),
    There { child: Child, into: ChildStdin, out: BufReader<ChildStdout> },
}

impl Member {
    fn new(program: Option<&Path>) -> io::Result<Self> {
        let Some(program) = program else { return Ok(Self::Here(Box::default())) };
        let mut command = Command::new(program);
        let mut child = command.env_clear().stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        match (child.stdin.take(), child.stdout.take()) {
            (Some(into), Some(out)) => Ok(Self::There { child, into, out: BufReader::new(out) }),
            _ => Err(io::Error::other("it has no pipes")),
        }
    }

    fn ask(&mut self, line: &str) -> io::Result<Vec<String>> {
        match self {
            Self::Here(session) => session.line(line).map_err(io::Error::other),
            Self::There { into, out, .. } => {
                into.write_all(format!("{line}\n").as_bytes())?;
                let mut answers = Vec::new();
                loop {
                    let mut answer = String::new();
                    if out.read_line(&mut answer)? == 0 {
                        return Err(io::Error::other(format!("it ended at {line:?}")));
                    }
                    match answer.trim_end() {
                        "." => return Ok(answers),
                        answer => answers.push(answer.to_owned()),
                    }
                }
            }
        }
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        if let Self::There { child, .. } = self {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

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
    /// Different pieces that were carried to it.
    pub carried: BTreeSet<String>,
    /// All that it was told, line by line.
    pub told: Vec<String>,
}

/// Members of a play; the last one leaves before its end.
pub const MEMBERS: usize = 9;
/// Endpoints on the list; the first one fails.
const ENDPOINTS: usize = 10;
/// A kind of carried pieces that belongs to nobody.
const KIND: u8 = 190;

const SECOND: i64 = 1_000_000;
const BEGIN: i64 = 1_000_000 * SECOND;
/// How often members look at their clocks.
const STEP: i64 = SECOND / 10;
/// When all know each other, when the endpoint fails and for how long, when pieces are carried, when one leaves, the end.
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
    members: Vec<Member>,
    came: Vec<Came>,
    mail: BinaryHeap<Reverse<(i64, u64, usize, String)>>,
    number: u64,
    rng: fastrand::Rng,
    now: i64,
}

/// Plays a fleet whose member `n` is played by `programs[n]`, or is one of today where there is none.
///
/// # Errors
/// A program cannot be started, ends, or cannot read what it is told.
pub fn play(programs: &[Option<&Path>; MEMBERS], seed: u64) -> io::Result<Vec<Came>> {
    let members = programs.iter().map(|program| Member::new(*program)).collect::<io::Result<_>>()?;
    let came = vec![Came::default(); MEMBERS];
    let rng = fastrand::Rng::with_seed(seed);
    let mut lan = Lan { members, came, mail: BinaryHeap::new(), number: 0, rng, now: BEGIN };
    let names: Vec<String> = (0..ENDPOINTS).map(|endpoint| format!("s-{endpoint}")).collect();
    for member in 0..MEMBERS {
        let zone = ["a", "b", "c"][member % 3];
        let seeds: Vec<String> =
            (0..3).filter(|s| *s != member).map(|seed| address(seed).to_string()).collect();
        let (now, own, chance) = (lan.now, address(member), lan.rng.u64(..));
        lan.ask(member, &format!("start n{member} {zone} {now} {chance} {now} {own} {}", seeds.join(",")))?;
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

impl Lan {
    fn step(&mut self) -> io::Result<()> {
        let until = self.now + STEP;
        while self.mail.peek().is_some_and(|Reverse((at, ..))| *at < until) {
            let Some(Reverse((at, _, to, line))) = self.mail.pop() else { break };
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
        let places: BTreeMap<String, usize> = (0..MEMBERS).map(|m| (address(m).to_string(), m)).collect();
        let (lost, delay) = (self.rng.f64() < LOST, self.rng.i64(200..5000));
        if let Some(to) = places.get(to).filter(|_| !lost) {
            self.number += 1;
            let line = format!("{} {hex}", address(from));
            self.mail.push(Reverse((self.now + delay, self.number, *to, line)));
        }
    }

    fn state(&mut self, member: usize, place: usize) -> io::Result<()> {
        let answers = self.members[member].ask("state")?;
        let words: Vec<&str> = answers.iter().flat_map(|answer| answer.split(' ')).collect();
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
