//! Sends messages between coordinators over HTTP/1.1: a bounded queue for each, best effort.

use crate::fetch::{FetchError, Line};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use load_balancer_coordinator::replicated_log::{DecodeError, Message, decode, encode};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Where messages are brought.
pub const PATH: &str = "/agreement/messages";
/// The header that says whose they are.
pub const FROM: &str = "x-steward";
/// Messages that wait for one coordinator; the oldest go first, as the engine says again what is
/// still true.
const WAITING: usize = 256;
/// Bytes of messages in one request, unless a single one is longer.
const TOGETHER: usize = 1 << 20;
/// Longest content of a request, in bytes: a snapshot of the longest list, and more.
pub const MAX_CONTENT_BYTES: usize = 16 << 20;
/// Pause after a failure: doubled up to the longest, each drawn from its upper half.
const PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// What waits for one coordinator.
#[derive(Default)]
struct Queue {
    waiting: RefCell<VecDeque<Vec<u8>>>,
    come: Notify,
}

/// Ways to the others.
#[derive(Clone)]
pub struct Peers {
    queues: Rc<BTreeMap<String, Rc<Queue>>>,
    dropped: Rc<Cell<u64>>,
}

impl Peers {
    /// Starts a task for each of the others.
    pub fn start(own: &str, all: &BTreeMap<String, SocketAddr>, within: Duration) -> Self {
        let others = all.iter().filter(|(name, _)| *name != own);
        let queues: BTreeMap<String, Rc<Queue>> = others
            .clone()
            .map(|(name, _)| (name.clone(), Rc::default()))
            .collect();
        let peers = Self {
            queues: Rc::new(queues),
            dropped: Rc::default(),
        };
        for (name, at) in others {
            if let Some(queue) = peers.queues.get(name) {
                let (queue, dropped) = (Rc::clone(queue), Rc::clone(&peers.dropped));
                spawn_local(carry(own.to_owned(), *at, queue, dropped, within));
            }
        }
        peers
    }

    /// Puts a message in its queue.
    pub fn send(&self, to: &str, message: &Message) {
        let (Some(queue), Some(bytes)) = (self.queues.get(to), encode(message)) else {
            return;
        };
        let mut waiting = queue.waiting.borrow_mut();
        if waiting.len() >= WAITING {
            waiting.pop_front();
            self.dropped.set(self.dropped.get() + 1);
        }
        waiting.push_back(bytes);
        queue.come.notify_one();
    }

    /// Messages that were not brought to anybody.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}

async fn carry(
    own: String,
    at: SocketAddr,
    queue: Rc<Queue>,
    dropped: Rc<Cell<u64>>,
    within: Duration,
) {
    let (mut line, mut pause) = (None, PAUSE);
    loop {
        let (content, count) = batch(&queue);
        if count == 0 {
            queue.come.notified().await;
            continue;
        }
        let reused = line.is_some();
        let mut done = bring(&mut line, at, &own, &content, within).await;
        // A line that the other end had closed meanwhile says nothing of the other end.
        if done.is_err() && reused {
            done = bring(&mut line, at, &own, &content, within).await;
        }
        if done.is_ok() {
            pause = PAUSE;
        } else {
            dropped.set(dropped.get() + count);
            sleep(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }
}

/// Takes what fits into one request: each message behind its length.
fn batch(queue: &Queue) -> (Bytes, u64) {
    let (mut waiting, mut content, mut count) = (queue.waiting.borrow_mut(), Vec::new(), 0);
    while let Some(next) = waiting.front() {
        if count > 0 && content.len() + next.len() > TOGETHER {
            break;
        }
        let Some(next) = waiting.pop_front() else {
            break;
        };
        // One that is longer than any request may be is not brought: it counts as lost.
        let Ok(length) = u32::try_from(next.len()) else {
            continue;
        };
        content.extend_from_slice(&length.to_be_bytes());
        content.extend_from_slice(&next);
        count += 1;
    }
    (Bytes::from(content), count)
}

/// Why messages were not brought to another coordinator.
#[derive(Debug, thiserror::Error)]
enum SendError {
    #[error(transparent)]
    Fetch(#[from] FetchError),
    #[error("it answers {0}")]
    Status(u16),
}

/// Why the content of a request holds no messages.
#[derive(Debug, thiserror::Error)]
pub enum MessagesError {
    /// It ends within a message's length.
    #[error("a length is cut off")]
    Length,
    /// It ends within a message.
    #[error("a message is cut off")]
    Content,
    /// A message has no form that the consensus engine knows.
    #[error(transparent)]
    Message(#[from] DecodeError),
}

async fn bring(
    line: &mut Option<Line>,
    at: SocketAddr,
    own: &str,
    content: &Bytes,
    within: Duration,
) -> Result<(), SendError> {
    let brought = async {
        let mut open = match line.take() {
            Some(open) => open,
            None => Line::to(at).await?,
        };
        let request = Request::builder()
            .method("POST")
            .uri(PATH)
            .header("host", at.to_string())
            .header(FROM, own)
            .body(Full::new(content.clone()))
            .map_err(FetchError::from)?;
        match open.ask(request).await? {
            (204, _) => {
                *line = Some(open);
                Ok(())
            }
            (status, _) => Err(SendError::Status(status)),
        }
    };
    timeout(within, brought)
        .await
        .unwrap_or(Err(SendError::Fetch(FetchError::Timeout)))
}

/// The messages of a request.
///
/// # Errors
/// They have no such form.
pub fn read(mut content: &[u8]) -> Result<Vec<Message>, MessagesError> {
    let mut messages = Vec::new();
    while !content.is_empty() {
        let (length, rest) = content
            .split_first_chunk::<4>()
            .ok_or(MessagesError::Length)?;
        let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
        if length > rest.len() {
            return Err(MessagesError::Content);
        }
        let (message, rest) = rest.split_at(length);
        messages.push(decode(message)?);
        content = rest;
    }
    Ok(messages)
}
