//! One HTTP/1.1 connection to an endpoint.
//!
//! A connection carries one request at a time and is driven by its user, so that dropping an
//! attempt's future closes the connection, and nothing is written without its attempt.

mod metered_stream;

use crate::head_allowance::HeadAllowance;
use crate::message_memory::MemoryShare;
pub use crate::write_progress::WriteProgress;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use metered_stream::MeteredStream;
use socket2::SockRef;
use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::SystemTime;
use tokio::net::TcpStream;

/// Longest response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The state of the HTTP library for one connection, with its buffers.
struct HttpState {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: http1::Connection<TokioIo<MeteredStream>, Full<Bytes>>,
}

/// An HTTP/1.1 connection for one request at a time.
pub struct Connection {
    /// `None` while it is idle: the buffers are large, and keep the size of the largest message.
    http: Option<HttpState>,
    ended: bool,
    stream: Rc<TcpStream>,
    progress: Rc<RefCell<WriteProgress>>,
    head_allowance: Rc<RefCell<HeadAllowance>>,
    created_at: SystemTime,
}

impl Connection {
    /// Connects; the caller limits the time. Long heads of responses take their memory of that
    /// share.
    pub async fn open(address: SocketAddr, memory: MemoryShare) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            http: None,
            ended: false,
            stream: Rc::new(stream),
            progress: Rc::default(),
            head_allowance: Rc::new(RefCell::new(HeadAllowance::new(memory, MAX_HEAD_BYTES))),
            created_at: SystemTime::now(),
        })
    }

    /// When it was established, by the clock that lists refer to.
    pub fn created_at(&self) -> SystemTime {
        self.created_at
    }

    /// Whether a request may be written: the peer has neither closed the connection nor sent
    /// anything unrequested. Checks the socket itself, as the runtime may not have noticed a close
    /// yet.
    pub fn is_usable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.stream).peek(&mut byte);
        !self.ended && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Makes the connection ready to write a request at once.
    pub async fn prepare(&mut self) {
        self.ended = self.ended || self.begin_http().await.is_err();
        self.poll_driver_once().await;
    }

    /// Creates the HTTP library's state, which writes and reads nothing yet.
    async fn begin_http(&mut self) -> hyper::Result<()> {
        if self.http.is_some() {
            return Ok(());
        }
        let metered = MeteredStream {
            stream: Rc::clone(&self.stream),
            progress: Rc::clone(&self.progress),
            head_allowance: Rc::clone(&self.head_allowance),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(metered));
        let (sender, driver) = handshake.await?;
        self.http = Some(HttpState { sender, driver });
        Ok(())
    }

    /// Releases the buffers after a response. Returns whether the connection can be used again: it
    /// can't if the peer wants it closed or has sent more than the response.
    pub async fn release(&mut self) -> bool {
        self.poll_driver_once().await;
        if let Some(http) = self.http.take() {
            // What was read behind the response would be lost with the buffer.
            let read_buf = http.driver.into_parts().read_buf;
            self.ended = self.ended || !read_buf.is_empty();
        }
        self.is_usable()
    }

    /// Sends a request and waits for the response head. Bytes that the peer sends before the
    /// request is completely written can't be a response to it: the connection is then not used
    /// again, and the rest of the request is not written.
    pub async fn request(
        &mut self,
        request: Request<Full<Bytes>>,
        progress: WriteProgress,
    ) -> Result<Response<Incoming>, &'static str> {
        *self.progress.borrow_mut() = progress.clone();
        self.head_allowance.borrow_mut().expect_head();
        if self.begin_http().await.is_err() {
            self.ended = true;
        }
        let Self {
            http: Some(HttpState { sender, driver }),
            ended,
            ..
        } = self
        else {
            return Err("connection lost");
        };
        let answer = async {
            sender.ready().await?;
            sender.send_request(request).await
        };
        let answer = drive(driver, ended, answer).await;
        self.head_allowance.borrow_mut().head_completed();
        match answer {
            Some(Ok(response)) if !progress.was_interrupted() => Ok(response),
            _ => Err("connection lost"),
        }
    }

    /// Polls the driver once, so that it notices whether the last response asked for the connection
    /// to be closed.
    async fn poll_driver_once(&mut self) {
        let Some(http) = &mut self.http else {
            return;
        };
        let ended = &mut self.ended;
        poll_fn(|cx| {
            *ended = *ended || Pin::new(&mut http.driver).poll(cx).is_ready();
            Poll::Ready(())
        })
        .await;
    }

    /// Waits for a future that this connection must drive; `None` if the connection ends first.
    pub async fn drive<T>(&mut self, future: impl Future<Output = T>) -> Option<T> {
        let http = self.http.as_mut()?;
        drive(&mut http.driver, &mut self.ended, future).await
    }
}

async fn drive<T>(
    driver: &mut http1::Connection<TokioIo<MeteredStream>, Full<Bytes>>,
    ended: &mut bool,
    future: impl Future<Output = T>,
) -> Option<T> {
    let mut future = pin!(future);
    poll_fn(|cx| {
        // The future is polled before and after the driver: before, it hands the request over, and
        // after, a response that arrived together with the close still counts.
        if let Poll::Ready(value) = future.as_mut().poll(cx) {
            return Poll::Ready(Some(value));
        }
        if !*ended {
            *ended = Pin::new(&mut *driver).poll(cx).is_ready();
        }
        match future.as_mut().poll(cx) {
            Poll::Ready(value) => Poll::Ready(Some(value)),
            Poll::Pending if *ended => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

#[cfg(test)]
mod tests;
