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

/// A connection on which one question at a time is asked.
pub struct Line(SendRequest<Full<Bytes>>);

impl Line {
    /// Connects.
    pub async fn to(at: SocketAddr) -> Result<Self, String> {
        let stream = TcpStream::connect(at).await.map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        // Its end is seen by whoever asks next.
        spawn_local(connection);
        Ok(Self(sender))
    }

    /// Asks, and reads the whole answer.
    pub async fn ask(&mut self, request: Request<Full<Bytes>>) -> Result<(u16, Bytes), String> {
        self.0.ready().await.map_err(|e| e.to_string())?;
        let response = self
            .0
            .send_request(request)
            .await
            .map_err(|e| e.to_string())?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|e| e.to_string())?;
        Ok((status, body.to_bytes()))
    }
}

/// Asks once: status and content, which is JSON.
///
/// # Errors
/// Nothing whole came in time; in words.
pub async fn fetch(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    within: Duration,
) -> Result<(u16, Value), String> {
    let asked = async {
        let mut line = Line::to(at).await?;
        let content = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", at.to_string())
            .header("content-type", "application/json")
            .header("connection", "close")
            .body(Full::new(Bytes::from(content)))
            .map_err(|e| e.to_string())?;
        let (status, content) = line.ask(request).await?;
        Ok((
            status,
            serde_json::from_slice(&content).unwrap_or(Value::Null),
        ))
    };
    timeout(within, asked)
        .await
        .unwrap_or_else(|_| Err("no answer in time".to_owned()))
}
