//! Sends messages to other coordinators over HTTP/1.1, with a bounded queue for each; messages may
//! be lost.

use crate::fetch::{Connection, FetchError};
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

/// Path of requests with messages.
pub const MESSAGES_PATH: &str = "/agreement/messages";
/// Header with the name of the sender.
pub const SENDER_HEADER: &str = "x-steward";
/// Maximum number of messages queued for one coordinator. The oldest are dropped first, because the
/// consensus engine repeats what is still relevant.
const MAX_QUEUED: usize = 256;
/// Maximum size of a request in bytes, unless a single message is longer.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// Maximum size of a received request in bytes: a snapshot of the longest server list, and more.
pub const MAX_CONTENT_BYTES: usize = 16 << 20;
/// Delay after a failure: doubled up to the maximum, and jittered down to half.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The messages queued for one coordinator.
#[derive(Default)]
struct Queue {
    waiting: RefCell<VecDeque<Vec<u8>>>,
    arrived: Notify,
}

/// The queues to the other coordinators.
#[derive(Clone)]
pub struct Peers {
    queues: Rc<BTreeMap<String, Rc<Queue>>>,
    dropped: Rc<Cell<u64>>,
}

impl Peers {
    /// Starts a sender task for each of the other coordinators.
    pub fn start(
        own_name: &str,
        addresses: &BTreeMap<String, SocketAddr>,
        time_limit: Duration,
    ) -> Self {
        let others = addresses.iter().filter(|(name, _)| *name != own_name);
        let queues: BTreeMap<String, Rc<Queue>> = others
            .clone()
            .map(|(name, _)| (name.clone(), Rc::default()))
            .collect();
        let peers = Self {
            queues: Rc::new(queues),
            dropped: Rc::default(),
        };
        for (name, address) in others {
            if let Some(queue) = peers.queues.get(name) {
                let (queue, dropped) = (Rc::clone(queue), Rc::clone(&peers.dropped));
                spawn_local(run_sender(
                    own_name.to_owned(),
                    *address,
                    queue,
                    dropped,
                    time_limit,
                ));
            }
        }
        peers
    }

    /// Queues a message.
    pub fn send(&self, recipient: &str, message: &Message) {
        let (Some(queue), Some(bytes)) = (self.queues.get(recipient), encode(message)) else {
            return;
        };
        let mut waiting = queue.waiting.borrow_mut();
        if waiting.len() >= MAX_QUEUED {
            waiting.pop_front();
            self.dropped.set(self.dropped.get() + 1);
        }
        waiting.push_back(bytes);
        queue.arrived.notify_one();
    }

    /// Returns the number of dropped messages.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}

async fn run_sender(
    own_name: String,
    address: SocketAddr,
    queue: Rc<Queue>,
    dropped: Rc<Cell<u64>>,
    time_limit: Duration,
) {
    let (mut connection, mut retry_delay) = (None, MIN_RETRY_DELAY);
    loop {
        let (content, count) = take_batch(&queue);
        if count == 0 {
            queue.arrived.notified().await;
            continue;
        }
        let was_reused = connection.is_some();
        let mut result =
            send_batch(&mut connection, address, &own_name, &content, time_limit).await;
        // A reused connection may have been closed by the other side in the meantime, so retry
        // once.
        if result.is_err() && was_reused {
            result = send_batch(&mut connection, address, &own_name, &content, time_limit).await;
        }
        if result.is_ok() {
            retry_delay = MIN_RETRY_DELAY;
        } else {
            dropped.set(dropped.get() + count);
            sleep(retry_delay.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

/// Takes the messages of one request from the queue: each is preceded by its length.
fn take_batch(queue: &Queue) -> (Bytes, u64) {
    let (mut waiting, mut content, mut count) = (queue.waiting.borrow_mut(), Vec::new(), 0);
    while let Some(next) = waiting.front() {
        if count > 0 && content.len() + next.len() > MAX_BATCH_BYTES {
            break;
        }
        let Some(next) = waiting.pop_front() else {
            break;
        };
        // A message that is too long for its length field is dropped.
        let Ok(length) = u32::try_from(next.len()) else {
            continue;
        };
        content.extend_from_slice(&length.to_be_bytes());
        content.extend_from_slice(&next);
        count += 1;
    }
    (Bytes::from(content), count)
}

/// Error of sending messages to another coordinator.
#[derive(Debug, thiserror::Error)]
enum SendError {
    #[error(transparent)]
    Fetch(#[from] FetchError),
    #[error("unexpected status {0}")]
    Status(u16),
}

/// Error of decoding received messages.
#[derive(Debug, thiserror::Error)]
pub enum MessagesError {
    /// The content ends within a length.
    #[error("truncated message length")]
    Length,
    /// The content ends within a message.
    #[error("truncated message")]
    Content,
    /// A message is not one of the consensus engine.
    #[error(transparent)]
    Message(#[from] DecodeError),
}

async fn send_batch(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    own_name: &str,
    content: &Bytes,
    time_limit: Duration,
) -> Result<(), SendError> {
    let exchange = async {
        let mut current = match connection.take() {
            Some(open) => open,
            None => Connection::connect(address).await?,
        };
        let request = Request::builder()
            .method("POST")
            .uri(MESSAGES_PATH)
            .header("host", address.to_string())
            .header(SENDER_HEADER, own_name)
            .body(Full::new(content.clone()))
            .map_err(FetchError::from)?;
        match current.request(request).await? {
            (204, _) => {
                *connection = Some(current);
                Ok(())
            }
            (status, _) => Err(SendError::Status(status)),
        }
    };
    timeout(time_limit, exchange)
        .await
        .unwrap_or(Err(SendError::Fetch(FetchError::Timeout)))
}

/// Decodes the messages of a request.
///
/// # Errors
/// Returns an error if the content is malformed.
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
