//! A client's connections to its sidecar, and single exchanges over them.

use crate::Us;
use crate::record::Try;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How long a client keeps an idle connection: less than a sidecar does.
const MAX_IDLE: Duration = Duration::from_secs(2);

pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Idle connections of one application, the most recently used one last.
pub(super) type Pool = Arc<Mutex<Vec<(Sender, Instant)>>>;

/// The end of an attempt.
pub(super) enum AttemptEnd {
    Answered {
        status: u16,
        is_genuine: bool,
        retry_after: Option<Us>,
    },
    Lost,
    GaveUp,
}

pub(super) fn take_idle(pool: &Pool) -> Option<Sender> {
    let mut pool = pool.lock().unwrap_or_else(PoisonError::into_inner);
    pool.retain(|(sender, since)| since.elapsed() < MAX_IDLE && sender.is_ready());
    pool.pop().map(|(sender, _)| sender)
}

pub(super) fn park(pool: &Pool, sender: Option<Sender>) {
    if let Some(sender) = sender {
        pool.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((sender, Instant::now()));
    }
}

pub(super) async fn connect(address: SocketAddr) -> std::io::Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Why there is no complete response.
pub(super) enum ExchangeError {
    /// The connection was closed before the request was read.
    Unread,
    /// The connection broke afterwards.
    Broken,
}

pub(super) async fn exchange(
    mut sender: Sender,
    message: Request<Full<Bytes>>,
    request: Try,
) -> Result<(AttemptEnd, Option<Sender>), ExchangeError> {
    let response = sender.send_request(message).await.map_err(|e| {
        // There is no response at all: the sidecar closed the connection at the same time.
        if e.is_canceled() || e.is_closed() || e.is_incomplete_message() {
            ExchangeError::Unread
        } else {
            ExchangeError::Broken
        }
    })?;
    let (status, retry_after) = (response.status().as_u16(), parse_retry_after(&response));
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|_| ExchangeError::Broken)?
        .to_bytes();
    let genuine =
        status != 200 || body.starts_with(format!("{{\"done\":\"{request:016x}\"").as_bytes());
    let sender = sender.ready().await.is_ok().then_some(sender);
    Ok((
        AttemptEnd::Answered {
            status,
            is_genuine: genuine,
            retry_after,
        },
        sender,
    ))
}

fn parse_retry_after<B>(response: &Response<B>) -> Option<Us> {
    let seconds: f64 = response
        .headers()
        .get("retry-after")?
        .to_str()
        .ok()?
        .parse()
        .ok()?;
    (0.0..1e6)
        .contains(&seconds)
        .then_some((seconds * 1e6) as Us)
}
