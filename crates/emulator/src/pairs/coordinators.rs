//! Coordinators of two versions in one cluster, each over its own file, while they are rolled
//! forward and back.

use super::coordinator::Session;
use super::lines::{bytes, hex};
use super::part::Part;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::path::{Path, PathBuf};

/// Coordinators.
pub const COORDINATORS: usize = 3;
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
    /// What each coordinator has applied in the end, with times.
    pub books: Vec<String>,
    /// Orders that were agreed on.
    pub agreed: usize,
    /// Files that were quarantined, and messages that were not let in.
    pub refused: Vec<String>,
    /// Messages that passed.
    pub passed: usize,
    /// What each coordinator was told, line by line.
    pub told: Vec<Vec<String>>,
}

struct Room {
    coordinators: Vec<Option<Part>>,
    ids: BTreeMap<String, usize>,
    files: Vec<PathBuf>,
    wire: VecDeque<(usize, String)>,
    order: u64,
    now: i64,
    came: Came,
}

/// Runs the stages one after the other: in each one, coordinator `n` is run by `stage[n]`, or is
/// one of today where there is none, for so many ticks with orders. Between two, whoever changes
/// its version is stopped and started again over the same file.
///
/// # Errors
/// A program cannot be started, or a coordinator cannot go on.
pub fn play(
    folder: &Path,
    stages: &[[Option<&Path>; COORDINATORS]],
    ticks: u64,
) -> io::Result<Came> {
    let files = (0..COORDINATORS)
        .map(|n| folder.join(format!("coordinator-{n}.redb")))
        .collect();
    let came = Came {
        told: vec![Vec::new(); COORDINATORS],
        ..Came::default()
    };
    let (coordinators, ids) = ((0..COORDINATORS).map(|_| None).collect(), BTreeMap::new());
    let mut room = Room {
        coordinators,
        ids,
        files,
        wire: VecDeque::new(),
        order: 0,
        now: START_MS,
        came,
    };
    for (number, stage) in stages.iter().enumerate() {
        for (coordinator, program) in stage.iter().enumerate() {
            if number == 0 || stages[number - 1][coordinator] != *program {
                room.start(coordinator, *program, number)?;
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
    for coordinator in 0..COORDINATORS {
        let state = room.ask(coordinator, "state")?;
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
            "coordinators have applied different orders: {}",
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

/// Bytes of a sector, the smallest fragment of a file that is written down.
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
    fn start(
        &mut self,
        coordinator: usize,
        program: Option<&Path>,
        stage: usize,
    ) -> io::Result<()> {
        if self.coordinators[coordinator].is_some() {
            // The file is given back before another process opens it.
            self.ask(coordinator, "stop")?;
            self.coordinators[coordinator] = None;
        }
        self.coordinators[coordinator] = Some(match program {
            Some(program) => Part::of(program)?,
            None => {
                let mut session = Session::default();
                Part::here(move |line| session.line(line))
            }
        });
        let (id, run) = (100 + coordinator, 10 * stage + coordinator + 1);
        let founds = u8::from(stage == 0 && coordinator == 0);
        let file = self.files[coordinator].display().to_string();
        self.ask(
            coordinator,
            &format!("start s{coordinator} {id} {run} {founds} {file}"),
        )?;
        self.ids.insert(id.to_string(), coordinator);
        Ok(())
    }

    fn run(&mut self, ticks: u64, orders: bool) -> io::Result<()> {
        for tick in 0..ticks {
            self.now += 10;
            let running: Vec<usize> = (0..COORDINATORS)
                .filter(|n| self.coordinators[*n].is_some())
                .collect();
            for coordinator in &running {
                self.ask(*coordinator, "tick")?;
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
                for coordinator in &running {
                    self.ask(*coordinator, &format!("propose {now} {order}"))?;
                }
            }
            for _ in 0..self.wire.len() {
                if let Some((to, hex)) = self
                    .wire
                    .pop_front()
                    .filter(|(to, _)| self.coordinators[*to].is_some())
                {
                    self.ask(to, &format!("step {hex}"))?;
                }
            }
        }
        Ok(())
    }

    fn ask(&mut self, coordinator: usize, line: &str) -> io::Result<Vec<String>> {
        let Some(part) = &mut self.coordinators[coordinator] else {
            return Ok(Vec::new());
        };
        self.came.told[coordinator].push(line.to_owned());
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
                    self.came.refused.push(format!("s{coordinator}: {answer}"))
                }
                _ => {}
            }
        }
        Ok(answers)
    }
}
