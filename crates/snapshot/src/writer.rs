//! The thread that reads and writes the stored state. No caller waits for it: while the disk is
//! busy, a newer change replaces a waiting one.

use crate::Micros;
use crate::directory::{DirectoryError, StateStorage};
use crate::snapshot::Changes;
use crate::snapshot_store::{Found, SnapshotStore};
use crate::write_queue::{BYTES, COMMITS, Counts, QUARANTINED, WriteQueue};
use std::sync::Arc;
use std::sync::mpsc::{RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// The result of a start.
#[derive(Debug)]
pub enum StartResult {
    /// The stored state.
    Found(Box<Found>),
    /// Another process uses the directory.
    InUse(String),
    /// The disk failed or was too slow: the sidecar serves without stored state, and the thread
    /// retries.
    Unavailable,
}

/// A handle to the writer thread, which ends with the process or after the last changes were
/// written.
#[derive(Clone)]
pub struct Writer(Arc<WriteQueue>);

impl Writer {
    /// Starts the thread, which opens the storage and starts an incarnation, and waits for that up
    /// to `start_timeout`. After a failure the thread retries after `retry_delay`.
    pub fn start<P: StateStorage + 'static>(
        open_storage: impl Fn() -> Result<P, DirectoryError> + Send + 'static,
        owner: String,
        now: impl Fn() -> Micros + Send + 'static,
        start_timeout: Duration,
        retry_delay: Duration,
    ) -> (Self, StartResult) {
        let queue = Arc::new(WriteQueue::default());
        let (start_sender, start_receiver) = sync_channel(1);
        let thread = WriterThread {
            queue: Arc::clone(&queue),
            open_storage,
            owner,
            now,
            retry_delay,
        };
        let started = std::thread::Builder::new()
            .name("state".to_owned())
            .spawn(move || thread.run(&start_sender));
        let result = match started {
            Ok(_) => start_receiver
                .recv_timeout(start_timeout)
                .unwrap_or_else(|e| {
                    if e == RecvTimeoutError::Timeout {
                        queue.record_failure(&format!(
                            "the disk was not ready within {} ms",
                            start_timeout.as_millis()
                        ));
                    }
                    StartResult::Unavailable
                }),
            Err(e) => {
                queue.record_failure(&e);
                StartResult::Unavailable
            }
        };
        (Self(queue), result)
    }

    /// Queues changes, which replace waiting ones part by part. Never waits for the disk.
    pub fn commit(&self, changes: Changes) {
        self.0.enqueue(changes, false);
    }

    /// Queues the last changes: the thread writes them, closes the files and ends. Never waits for
    /// that.
    pub fn commit_last(&self, changes: Changes) {
        self.0.enqueue(changes, true);
    }

    /// The counts so far.
    pub fn counts(&self) -> Counts {
        self.0.counts()
    }

    /// Removes and returns the log lines.
    pub fn take_log_lines(&self) -> Vec<String> {
        self.0.take_log_lines()
    }
}

struct WriterThread<T, N> {
    queue: Arc<WriteQueue>,
    open_storage: T,
    owner: String,
    now: N,
    retry_delay: Duration,
}

impl<P: StateStorage, T: Fn() -> Result<P, DirectoryError>, N: Fn() -> Micros> WriterThread<T, N> {
    fn run(self, start_sender: &SyncSender<StartResult>) {
        let queue = &self.queue;
        let mut storage = None;
        let mut snapshot_store = None;
        match self.begin(&mut storage) {
            Ok((begun, found)) => {
                snapshot_store = Some(begun);
                let _ = start_sender.try_send(StartResult::Found(Box::new(found)));
                queue.record_recovery();
            }
            Err(DirectoryError::InUse(used)) => {
                let _ = start_sender.try_send(StartResult::InUse(used.to_string()));
                queue.record_failure(&used);
            }
            Err(DirectoryError::StoreError(trouble)) => {
                queue.record_failure(&trouble);
                let _ = start_sender.try_send(StartResult::Unavailable);
            }
        }
        let mut last_attempt = Instant::now();
        while let Some((changes, is_last)) = queue.take_next(
            snapshot_store
                .is_none()
                .then_some(last_attempt + self.retry_delay),
        ) {
            let result = match &snapshot_store {
                Some(snapshot_store) => snapshot_store
                    .commit(&changes)
                    .map_err(DirectoryError::StoreError),
                None => self.begin(&mut storage).and_then(|(begun, _)| {
                    let result = begun.commit(&changes).map_err(DirectoryError::StoreError);
                    snapshot_store = Some(begun);
                    result
                }),
            };
            match result {
                Ok(bytes) => {
                    queue.add_count(COMMITS, 1);
                    queue.add_count(BYTES, bytes);
                    queue.record_recovery();
                }
                Err(why) => {
                    // What is durable now is unknown.
                    snapshot_store = None;
                    last_attempt = Instant::now();
                    queue.record_failure(&why);
                    let mut pending = queue.pending();
                    let newer = std::mem::replace(&mut pending.changes, changes);
                    pending.changes.merge(newer);
                }
            }
            if is_last {
                return;
            }
        }
    }

    fn begin(&self, storage: &mut Option<P>) -> Result<(SnapshotStore, Found), DirectoryError> {
        let opened = match storage.take() {
            Some(taken) => taken,
            None => (self.open_storage)()?,
        };
        let begun = SnapshotStore::begin(storage.insert(opened), &self.owner, (self.now)())
            .map_err(DirectoryError::StoreError)?;
        self.queue
            .add_count(QUARANTINED, begun.1.quarantined.len() as u64);
        for quarantined in &begun.1.quarantined {
            self.queue.log(format!(
                "set aside as {}: {}",
                quarantined.file.display(),
                quarantined.reason
            ));
        }
        Ok(begun)
    }
}
