//! An HTTP/1.1 request to another process with a total time-out.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Longest answer that is read, in bytes: the longest list, with as much again.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a request got no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection was not made.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The connection broke, or carried what is not HTTP.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The request could not be written as HTTP.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The answer was cut off, or longer than is read.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The time-out passed.
    #[error("no answer in time")]
    Timeout,
}

/// A connection on which one question at a time is asked.
pub struct Line(SendRequest<Full<Bytes>>);

impl Line {
    /// Connects.
    pub async fn to(at: SocketAddr) -> Result<Self, FetchError> {
        let stream = TcpStream::connect(at).await?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        // Its end is seen by whoever asks next.
        spawn_local(connection);
        Ok(Self(sender))
    }

    /// Asks, and reads the whole answer.
    pub async fn ask(&mut self, request: Request<Full<Bytes>>) -> Result<(u16, Bytes), FetchError> {
        self.0.ready().await?;
        let response = self.0.send_request(request).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(FetchError::Body)?;
        Ok((status, body.to_bytes()))
    }
}

/// Asks once: status and content, which is JSON.
///
/// # Errors
/// Nothing whole came in time.
pub async fn fetch(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    within: Duration,
) -> Result<(u16, Value), FetchError> {
    let asked = async {
        let mut line = Line::to(at).await?;
        let content = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", at.to_string())
            .header("content-type", "application/json")
            .header("connection", "close")
            .body(Full::new(Bytes::from(content)))?;
        let (status, content) = line.ask(request).await?;
        Ok((
            status,
            serde_json::from_slice(&content).unwrap_or(Value::Null),
        ))
    };
    timeout(within, asked)
        .await
        .unwrap_or(Err(FetchError::Timeout))
}
