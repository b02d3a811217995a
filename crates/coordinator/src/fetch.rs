//! HTTP/1.1 requests with a total time limit.

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

/// Maximum size of an answer in bytes: twice the longest server list.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Error of a request.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection could not be established.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The connection failed, or the answer was not valid HTTP.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The request could not be encoded.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The answer was incomplete or too long.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The time limit passed.
    #[error("no answer in time")]
    Timeout,
}

/// A connection that carries one request at a time.
pub struct Connection(SendRequest<Full<Bytes>>);

impl Connection {
    /// Establishes a connection.
    pub async fn connect(address: SocketAddr) -> Result<Self, FetchError> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        // If the connection fails, the next request reports it.
        spawn_local(connection);
        Ok(Self(sender))
    }

    /// Sends a request and reads the whole answer.
    pub async fn request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(u16, Bytes), FetchError> {
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

/// Sends a single request. Returns the status and the content, which is JSON.
///
/// # Errors
/// Returns an error if no complete answer was received in time.
pub async fn fetch(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    time_limit: Duration,
) -> Result<(u16, Value), FetchError> {
    let exchange = async {
        let mut connection = Connection::connect(address).await?;
        let content = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .header("connection", "close")
            .body(Full::new(Bytes::from(content)))?;
        let (status, content) = connection.request(request).await?;
        Ok((
            status,
            serde_json::from_slice(&content).unwrap_or(Value::Null),
        ))
    };
    timeout(time_limit, exchange)
        .await
        .unwrap_or(Err(FetchError::Timeout))
}
