//! One client connection, from its accept to its close.

use crate::client::Client;
use crate::client_socket::ClientSocket;
use crate::closing::linger;
use crate::engine_handle::EngineHandle;
use crate::request_headers::RequestClasses;
use crate::serving::serve;
use crate::shutdown::ShutdownStage;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::future::{Future, pending, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, watch};
use tokio::time::{sleep, timeout};

/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// A connection that stays without a whole head this long is closed, and sooner once told to stop.
/// Anyone may connect and say little or nothing, and is owed an error or a close within 3 s;
/// clients keep theirs for 2 s.
const IDLE: Duration = Duration::from_millis(2300);
const IDLE_AT_STOP: Duration = Duration::from_millis(500);
/// Time in which the runtime sees what the system holds already.
const LAST_LOOK: Duration = Duration::from_millis(2);
/// How often it is given that time again, as more keeps coming. A request that is being answered
/// holds up what came behind it, so this has to end.
const MAX_LOOKS: usize = 3;

/// What every connection is served with.
#[derive(Clone)]
pub struct Session {
    /// The classes and tenants.
    pub lanes: Rc<RequestClasses>,
    /// The engine.
    pub handle: EngineHandle,
    /// Whether connections have to make way for new ones.
    pub crowded: watch::Receiver<bool>,
    /// How long a client may take to make room for an answer.
    pub slowest: Duration,
    /// How far a planned stop has come.
    pub stop: watch::Receiver<ShutdownStage>,
}

impl Session {
    /// Serves a connection and closes it. The process waits with its end until this has ended.
    pub async fn run(self, stream: TcpStream, _place: Option<OwnedSemaphorePermit>) {
        // Without it an answer could wait for an acknowledgement; it is no reason to turn anyone
        // away.
        let _ = stream.set_nodelay(true);
        let client = Rc::new(Client::new(stream));
        self.converse(&client).await;
        linger(client.stream(), self.crowding()).await;
    }

    /// Answers requests until the connection is to be closed and every answer is out.
    async fn converse(&self, client: &Rc<Client>) {
        let idle = if *self.stop.borrow() == ShutdownStage::No {
            IDLE
        } else {
            IDLE_AT_STOP
        };
        let (this, asking) = (self.clone(), Rc::clone(client));
        let service = service_fn(move |request| {
            let answering = asking.begin();
            let (lanes, handle, stop) = (
                Rc::clone(&this.lanes),
                this.handle.clone(),
                this.stop.clone(),
            );
            let reply = serve(lanes, handle, request, Rc::clone(&asking), stop);
            async move {
                let _answering = answering;
                reply.await
            }
        });
        let inlet = ClientSocket::new(Rc::clone(client), idle - LAST_LOOK, self.slowest);
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(MAX_HEAD_BYTES);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(inlet), service));
        tokio::select! {
            biased;
            // What is wrong with a connection concerns its client alone, who has been told 400 or
            // has left.
            _ = connection.as_mut() => return,
            () = self.stopped(ShutdownStage::Closing) => {}
            () = self.crowding() => {}
        }
        // A request that has come in but was not seen yet is still read: closing on it would cost
        // its client a second one.
        for _ in 0..MAX_LOOKS {
            if timeout(LAST_LOOK, connection.as_mut()).await.is_ok() {
                return;
            }
            if !client.unread() {
                break;
            }
        }
        let patience = async {
            tokio::select! {
                biased;
                () = self.crowding() => {}
                () = sleep(IDLE_AT_STOP) => {}
            }
        };
        let ended = tokio::select! {
            biased;
            ended = settle(connection.as_mut(), client, patience) => ended,
            () = self.stopped(ShutdownStage::Now) => false,
        };
        if !ended {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }

    /// Waits until connections have to make way for new ones.
    async fn crowding(&self) {
        if self
            .crowded
            .clone()
            .wait_for(|crowded| *crowded)
            .await
            .is_err()
        {
            // No more are accepted.
            pending().await
        }
    }

    /// Waits until a planned stop has come so far.
    pub async fn stopped(&self, stage: ShutdownStage) {
        if self
            .stop
            .clone()
            .wait_for(|stop| *stop >= stage)
            .await
            .is_err()
        {
            pending().await
        }
    }
}

/// Drives a connection until it has ended, which is told, or holds nothing more that is to be
/// waited for: a request that has come in part, or that the client of a new connection is about to
/// send, while there is patience; requests that have come behind the one that is being answered,
/// for as long as a connection may stay without one.
async fn settle(
    mut connection: Pin<&mut impl Future>,
    client: &Client,
    patience: impl Future<Output = ()>,
) -> bool {
    let (mut patience, mut behind) = (pin!(patience), pin!(sleep(IDLE)));
    let mut impatient = false;
    poll_fn(|cx| {
        if connection.as_mut().poll(cx).is_ready() {
            return Poll::Ready(true);
        }
        impatient = impatient || patience.as_mut().poll(cx).is_ready();
        let expected = if client.answering() {
            client.in_hand() && behind.as_mut().poll(cx).is_pending()
        } else {
            (client.in_hand() || client.silent()) && !impatient
        };
        if expected {
            Poll::Pending
        } else {
            Poll::Ready(false)
        }
    })
    .await
}
