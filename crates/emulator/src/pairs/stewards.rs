//! Coordinators of two versions in one cluster, each over its own file, while they are rolled
//! forward and back.

use super::coordinator::Session;
use super::lines::{bytes, hex};
use super::part::Part;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::path::{Path, PathBuf};

/// Stewards.
pub const STEWARDS: usize = 3;
/// Ticks of a stage: some elections, and several snapshots' worth of orders in all.
pub const STAGE: u64 = 600;
/// Ticks between two orders.
const EACH: u64 = 2;
/// Ticks for the first ones to get a voice, in which nothing is ordered.
const FOUNDING: u64 = 200;
/// Time of the leaders' clocks, in milliseconds of Unix time.
const START_MS: i64 = 1_800_000_000_000;

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Came {
    /// What each steward has applied in the end, with times.
    pub books: Vec<String>,
    /// Orders that were agreed on.
    pub agreed: usize,
    /// Files that were set aside, and messages that were not let in.
    pub refused: Vec<String>,
    /// Messages that passed.
    pub passed: usize,
    /// What each steward was told, line by line.
    pub told: Vec<Vec<String>>,
}

struct Room {
    stewards: Vec<Option<Part>>,
    ids: BTreeMap<String, usize>,
    files: Vec<PathBuf>,
    wire: VecDeque<(usize, String)>,
    order: u64,
    now: i64,
    came: Came,
}

/// Plays the stages one after the other: in each one, steward `n` is played by `stage[n]`, or is one of today where there
/// is none, for so many ticks with orders. Between two, whoever changes its version is stopped and started again over the same file.
///
/// # Errors
/// A program cannot be started, or a steward cannot go on.
pub fn play(folder: &Path, stages: &[[Option<&Path>; STEWARDS]], ticks: u64) -> io::Result<Came> {
    let files = (0..STEWARDS)
        .map(|n| folder.join(format!("steward-{n}.redb")))
        .collect();
    let came = Came {
        told: vec![Vec::new(); STEWARDS],
        ..Came::default()
    };
    let (stewards, ids) = ((0..STEWARDS).map(|_| None).collect(), BTreeMap::new());
    let mut room = Room {
        stewards,
        ids,
        files,
        wire: VecDeque::new(),
        order: 0,
        now: START_MS,
        came,
    };
    for (number, stage) in stages.iter().enumerate() {
        for (steward, program) in stage.iter().enumerate() {
            if number == 0 || stages[number - 1][steward] != *program {
                room.start(steward, *program, number)?;
                // The others go on meanwhile.
                room.run(FOUNDING, number > 0)?;
            }
        }
        if number == 0 {
            room.run(FOUNDING, false)?;
        }
        room.run(ticks, true)?;
    }
    // What is under way arrives.
    room.run(FOUNDING, false)?;
    for steward in 0..STEWARDS {
        let state = room.ask(steward, "state")?;
        let book = state
            .first()
            .and_then(|state| state.split(' ').nth(3))
            .unwrap_or_default();
        room.came.books.push(book.to_owned());
    }
    Ok(room.came)
}

/// What is wrong with how it went.
pub fn judge(came: &Came) -> Vec<String> {
    let mut wrong = came.refused.clone();
    if came.books.iter().any(|book| *book != came.books[0]) {
        wrong.push(format!(
            "stewards have applied different orders: {}",
            sum(came)
        ));
    }
    let lines = came.books[0].split(',').count() - 1;
    if lines < came.agreed || came.agreed == 0 {
        wrong.push(format!(
            "orders were agreed on and are not there: {}",
            sum(came)
        ));
    }
    wrong
}

/// It all in a line.
pub fn sum(came: &Came) -> String {
    let lines: Vec<usize> = came
        .books
        .iter()
        .map(|book| book.split(',').count() - 1)
        .collect();
    let (agreed, passed, refused) = (came.agreed, came.passed, came.refused.len());
    format!(
        "{lines:?} orders applied, {agreed} answered, {passed} messages let in, {refused} refused"
    )
}

/// Bytes of a sector, the smallest piece of a file that is written down.
const SECTOR: usize = 512;

/// A file as lines: its length, then each sector that is not empty by its number.
pub fn sparse(file: &[u8]) -> Vec<String> {
    let mut lines = vec![file.len().to_string()];
    let sectors = file
        .chunks(SECTOR)
        .enumerate()
        .filter(|(_, sector)| sector.iter().any(|byte| *byte != 0));
    lines.extend(sectors.map(|(number, sector)| format!("{number} {}", hex(sector))));
    lines
}

/// The file that such lines hold; none where they hold no file.
pub fn whole(text: &str) -> Option<Vec<u8>> {
    let mut lines = text.lines();
    let mut file = vec![0; lines.next()?.parse().ok()?];
    for line in lines {
        let (number, sector) = line.split_once(' ')?;
        let (at, sector) = (number.parse::<usize>().ok()? * SECTOR, bytes(sector).ok()?);
        file.get_mut(at..at + sector.len())?
            .copy_from_slice(&sector);
    }
    Some(file)
}

impl Room {
    fn start(&mut self, steward: usize, program: Option<&Path>, stage: usize) -> io::Result<()> {
        if self.stewards[steward].is_some() {
            // The file is given back before another process opens it.
            self.ask(steward, "stop")?;
            self.stewards[steward] = None;
        }
        self.stewards[steward] = Some(match program {
            Some(program) => Part::of(program)?,
            None => {
                let mut session = Session::default();
                Part::here(move |line| session.line(line))
            }
        });
        let (id, run) = (100 + steward, 10 * stage + steward + 1);
        let founds = u8::from(stage == 0 && steward == 0);
        let file = self.files[steward].display().to_string();
        self.ask(
            steward,
            &format!("start s{steward} {id} {run} {founds} {file}"),
        )?;
        self.ids.insert(id.to_string(), steward);
        Ok(())
    }

    fn run(&mut self, ticks: u64, orders: bool) -> io::Result<()> {
        for tick in 0..ticks {
            self.now += 10;
            let running: Vec<usize> = (0..STEWARDS)
                .filter(|n| self.stewards[*n].is_some())
                .collect();
            for steward in &running {
                self.ask(*steward, "tick")?;
            }
            for guest in &running {
                let id = 100 + guest;
                for host in running
                    .iter()
                    .filter(|host| *host != guest && tick % EACH == 0 && !orders)
                {
                    self.ask(*host, &format!("admit {id} s{guest}"))?;
                }
            }
            if orders && tick % EACH == 0 {
                // Whoever leads takes it.
                self.order += 1;
                let (now, order) = (self.now, self.order);
                for steward in &running {
                    self.ask(*steward, &format!("propose {now} {order}"))?;
                }
            }
            for _ in 0..self.wire.len() {
                if let Some((to, hex)) = self
                    .wire
                    .pop_front()
                    .filter(|(to, _)| self.stewards[*to].is_some())
                {
                    self.ask(to, &format!("step {hex}"))?;
                }
            }
        }
        Ok(())
    }

    fn ask(&mut self, steward: usize, line: &str) -> io::Result<Vec<String>> {
        let Some(part) = &mut self.stewards[steward] else {
            return Ok(Vec::new());
        };
        self.came.told[steward].push(line.to_owned());
        let answers = part.ask(line)?;
        for answer in &answers {
            let words: Vec<&str> = answer.split(' ').collect();
            match words[..] {
                ["message", to, hex] => {
                    self.wire
                        .extend(self.ids.get(to).map(|to| (*to, hex.to_owned())));
                }
                ["agreed", _] => self.came.agreed += 1,
                ["passed", "true"] => self.came.passed += 1,
                ["passed", _] | ["aside", ..] => {
                    self.came.refused.push(format!("s{steward}: {answer}"))
                }
                _ => {}
            }
        }
        Ok(answers)
    }
}
