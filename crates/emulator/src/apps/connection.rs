//! A client's connections to its sidecar, and one exchange on one of them.

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

/// How long a client keeps a connection that it does not use: less than a sidecar keeps it.
const IDLE: Duration = Duration::from_secs(2);

pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Idle connections of one application, the most recently used last.
pub(super) type Pool = Arc<Mutex<Vec<(Sender, Instant)>>>;

/// How a try ended.
pub(super) enum End {
    Answered {
        status: u16,
        genuine: bool,
        hold_off: Option<Us>,
    },
    Lost,
    GaveUp,
}

pub(super) fn idle(pool: &Pool) -> Option<Sender> {
    let mut pool = pool.lock().unwrap_or_else(PoisonError::into_inner);
    pool.retain(|(sender, since)| since.elapsed() < IDLE && sender.is_ready());
    pool.pop().map(|(sender, _)| sender)
}

pub(super) fn keep(pool: &Pool, sender: Option<Sender>) {
    if let Some(sender) = sender {
        pool.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((sender, Instant::now()));
    }
}

pub(super) async fn open(at: SocketAddr) -> std::io::Result<Sender> {
    let stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Why no whole answer came.
pub(super) enum Failure {
    /// The connection had been closed before the request was read.
    Unread,
    /// It broke after that.
    Broken,
}

pub(super) async fn exchange(
    mut sender: Sender,
    message: Request<Full<Bytes>>,
    request: Try,
) -> Result<(End, Option<Sender>), Failure> {
    let response = sender.send_request(message).await.map_err(|e| {
        // Nothing at all came back: the sidecar's closing crossed with the request.
        if e.is_canceled() || e.is_closed() || e.is_incomplete_message() {
            Failure::Unread
        } else {
            Failure::Broken
        }
    })?;
    let (status, hold_off) = (response.status().as_u16(), hold_off(&response));
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|_| Failure::Broken)?
        .to_bytes();
    let genuine =
        status != 200 || body.starts_with(format!("{{\"done\":\"{request:016x}\"").as_bytes());
    let sender = sender.ready().await.is_ok().then_some(sender);
    Ok((
        End::Answered {
            status,
            genuine,
            hold_off,
        },
        sender,
    ))
}

fn hold_off<B>(response: &Response<B>) -> Option<Us> {
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
