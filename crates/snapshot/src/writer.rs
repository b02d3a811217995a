//! The one thread that reads and writes the stored state. Nobody waits for it: while the disk is
//! busy a newer change takes the place of one that waits.

use crate::Micros;
use crate::directory::{DirectoryError, StateStorage};
use crate::snapshot::Changes;
use crate::snapshot_store::{Found, SnapshotStore};
use crate::write_queue::{BYTES, COMMITS, Counts, QUARANTINED, WriteQueue};
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

/// A handle to the writer's thread, which ends with the process, or once the last was handed over
/// and written.
#[derive(Clone)]
pub struct Writer(Arc<WriteQueue>);

impl Writer {
    /// Starts the thread, which takes the place and begins an incarnation there, and waits for that
    /// for so long at the most. Where it cannot write, it tries again after `again`.
    pub fn start<P: StateStorage + 'static>(
        take: impl Fn() -> Result<P, DirectoryError> + Send + 'static,
        owner: String,
        now: impl Fn() -> Micros + Send + 'static,
        wait: Duration,
        again: Duration,
    ) -> (Self, Begun) {
        let queue = Arc::new(WriteQueue::default());
        let (tell, told) = sync_channel(1);
        let thread = Thread {
            queue: Arc::clone(&queue),
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
                    queue.failed(&format!(
                        "the disk was not ready within {} ms",
                        wait.as_millis()
                    ));
                }
                Begun::Without
            }),
            Err(e) => {
                queue.failed(&e);
                Begun::Without
            }
        };
        (Self(queue), begun)
    }

    /// Hands over changes; what still waits is replaced by them, part by part. Never waits for the
    /// disk.
    pub fn commit(&self, changes: Changes) {
        self.0.enqueue(changes, false);
    }

    /// Hands over the last ones: the thread writes them, lets go of the files and ends. Never waits
    /// for that.
    pub fn commit_last(&self, changes: Changes) {
        self.0.enqueue(changes, true);
    }

    /// What it has done.
    pub fn counts(&self) -> Counts {
        self.0.counts()
    }

    /// What there is to say to the on-call engineers, taken away with that.
    pub fn lines(&self) -> Vec<String> {
        self.0.lines()
    }
}

struct Thread<T, N> {
    queue: Arc<WriteQueue>,
    take: T,
    owner: String,
    now: N,
    again: Duration,
}

impl<P: StateStorage, T: Fn() -> Result<P, DirectoryError>, N: Fn() -> Micros> Thread<T, N> {
    fn run(self, tell: &SyncSender<Begun>) {
        let queue = &self.queue;
        let mut storage = None;
        let mut snapshot_store = None;
        match self.begin(&mut storage) {
            Ok((begun, found)) => {
                snapshot_store = Some(begun);
                let _ = tell.try_send(Begun::Found(Box::new(found)));
                queue.recovered();
            }
            Err(DirectoryError::InUse(used)) => {
                let _ = tell.try_send(Begun::InUse(used.to_string()));
                queue.failed(&used);
            }
            Err(DirectoryError::StoreError(trouble)) => {
                queue.failed(&trouble);
                let _ = tell.try_send(Begun::Without);
            }
        }
        let mut tried = Instant::now();
        while let Some((changes, last)) =
            queue.next(snapshot_store.is_none().then_some(tried + self.again))
        {
            let kept = match &snapshot_store {
                Some(snapshot_store) => snapshot_store
                    .commit(&changes)
                    .map_err(DirectoryError::StoreError),
                None => self.begin(&mut storage).and_then(|(begun, _)| {
                    let kept = begun.commit(&changes).map_err(DirectoryError::StoreError);
                    snapshot_store = Some(begun);
                    kept
                }),
            };
            match kept {
                Ok(bytes) => {
                    queue.count(COMMITS, 1);
                    queue.count(BYTES, bytes);
                    queue.recovered();
                }
                Err(why) => {
                    // Nobody knows what is kept now.
                    snapshot_store = None;
                    tried = Instant::now();
                    queue.failed(&why);
                    let mut pending = queue.pending();
                    let later = std::mem::replace(&mut pending.changes, changes);
                    pending.changes.then(later);
                }
            }
            if last {
                return;
            }
        }
    }

    fn begin(&self, storage: &mut Option<P>) -> Result<(SnapshotStore, Found), DirectoryError> {
        let taken = match storage.take() {
            Some(taken) => taken,
            None => (self.take)()?,
        };
        let begun = SnapshotStore::begin(storage.insert(taken), &self.owner, (self.now)())
            .map_err(DirectoryError::StoreError)?;
        self.queue
            .count(QUARANTINED, begun.1.quarantined.len() as u64);
        for quarantined in &begun.1.quarantined {
            self.queue.log(format!(
                "set aside as {}: {}",
                quarantined.file.display(),
                quarantined.why
            ));
        }
        Ok(begun)
    }
}
