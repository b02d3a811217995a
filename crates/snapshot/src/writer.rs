//! The one thread that reads and writes the stored state. Nobody waits for it: while the disk is
//! busy a newer change takes the place of one that waits.

use crate::Micros;
use crate::desk::{ASIDES, BYTES, COMMITS, Counts, Desk};
use crate::directory::{Place, Unusable};
use crate::keeper::{Found, Keeper};
use crate::known::Changes;
use std::sync::Arc;
use std::sync::mpsc::{RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// How a start came out.
#[derive(Debug)]
pub enum Begun {
    /// What was found.
    Found(Box<Found>),
    /// Another process has the directory.
    InUse(String),
    /// The disk does not do what is asked, or not in time: serve without. It is tried again.
    Without,
}

/// A handle to the writer's thread, which ends with the process, or once the last was handed over and written.
#[derive(Clone)]
pub struct Writer(Arc<Desk>);

impl Writer {
    /// Starts the thread, which takes the place and begins a life there, and waits for that for so long at the most.
    /// Where it cannot write, it tries again after `again`.
    pub fn start<P: Place + 'static>(
        take: impl Fn() -> Result<P, Unusable> + Send + 'static,
        owner: String,
        now: impl Fn() -> Micros + Send + 'static,
        wait: Duration,
        again: Duration,
    ) -> (Self, Begun) {
        let desk = Arc::new(Desk::default());
        let (tell, told) = sync_channel(1);
        let thread = Thread {
            desk: Arc::clone(&desk),
            take,
            owner,
            now,
            again,
        };
        let started = std::thread::Builder::new()
            .name("state".to_owned())
            .spawn(move || thread.run(&tell));
        let begun = match started {
            Ok(_) => told.recv_timeout(wait).unwrap_or_else(|e| {
                if e == RecvTimeoutError::Timeout {
                    desk.failed(&format!(
                        "the disk was not ready within {} ms",
                        wait.as_millis()
                    ));
                }
                Begun::Without
            }),
            Err(e) => {
                desk.failed(&e);
                Begun::Without
            }
        };
        (Self(desk), begun)
    }

    /// Hands over changes; what still waits is replaced by them, part by part. Never waits for the disk.
    pub fn keep(&self, changes: Changes) {
        self.0.hand_over(changes, false);
    }

    /// Hands over the last ones: the thread writes them, lets go of the files and ends. Never waits for that.
    pub fn keep_last(&self, changes: Changes) {
        self.0.hand_over(changes, true);
    }

    /// What it has done.
    pub fn counts(&self) -> Counts {
        self.0.counts()
    }

    /// What there is to say to the people on call, taken away with that.
    pub fn lines(&self) -> Vec<String> {
        self.0.lines()
    }
}

struct Thread<T, N> {
    desk: Arc<Desk>,
    take: T,
    owner: String,
    now: N,
    again: Duration,
}

impl<P: Place, T: Fn() -> Result<P, Unusable>, N: Fn() -> Micros> Thread<T, N> {
    fn run(self, tell: &SyncSender<Begun>) {
        let desk = &self.desk;
        let mut place = None;
        let mut keeper = None;
        match self.begin(&mut place) {
            Ok((begun, found)) => {
                keeper = Some(begun);
                let _ = tell.try_send(Begun::Found(Box::new(found)));
                desk.works();
            }
            Err(Unusable::InUse(used)) => {
                let _ = tell.try_send(Begun::InUse(used.to_string()));
                desk.failed(&used);
            }
            Err(Unusable::Trouble(trouble)) => {
                desk.failed(&trouble);
                let _ = tell.try_send(Begun::Without);
            }
        }
        let mut tried = Instant::now();
        while let Some((changes, last)) = desk.next(keeper.is_none().then_some(tried + self.again))
        {
            let kept = match &keeper {
                Some(keeper) => keeper.keep(&changes).map_err(Unusable::Trouble),
                None => self.begin(&mut place).and_then(|(begun, _)| {
                    let kept = begun.keep(&changes).map_err(Unusable::Trouble);
                    keeper = Some(begun);
                    kept
                }),
            };
            match kept {
                Ok(bytes) => {
                    desk.count(COMMITS, 1);
                    desk.count(BYTES, bytes);
                    desk.works();
                }
                Err(why) => {
                    // Nobody knows what is kept now.
                    keeper = None;
                    tried = Instant::now();
                    desk.failed(&why);
                    let mut tray = desk.tray();
                    let later = std::mem::replace(&mut tray.changes, changes);
                    tray.changes.then(later);
                }
            }
            if last {
                return;
            }
        }
    }

    fn begin(&self, place: &mut Option<P>) -> Result<(Keeper, Found), Unusable> {
        let taken = match place.take() {
            Some(taken) => taken,
            None => (self.take)()?,
        };
        let begun = Keeper::begin(place.insert(taken), &self.owner, (self.now)())
            .map_err(Unusable::Trouble)?;
        self.desk.count(ASIDES, begun.1.asides.len() as u64);
        for aside in &begun.1.asides {
            self.desk.say(format!(
                "set aside as {}: {}",
                aside.file.display(),
                aside.why
            ));
        }
        Ok(begun)
    }
}
