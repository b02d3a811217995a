//! Stand-ins for servers on real sockets: the rim of [`crate::world`]. Changes with how servers speak (PROTOCOL,
//! "Sidecars to endpoints").

use crate::Us;
use crate::draw::Plan;
use crate::net::{Clock, Net};
use crate::record::{Record, Seen, Try};
use crate::relay::{Door, Life, Link, join};
use crate::site::{self, CLASSES, Repeat};
use crate::world::{Admission, Done, Job, World};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf, duplex};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;

/// Longest body, of requests and of answers.
const LONGEST_BODY: usize = 64 << 10;
/// Bytes that may wait between a connection's relay and its server.
const BUFFER: usize = 64 << 10;

/// The number of a try: its request's place in the plan, and the how-manieth try it is.
pub fn try_number(arrival: usize, number: u32) -> Try {
    (arrival as u64) << 4 | u64::from(number)
}

/// The request of a try.
pub fn arrival_of(request: Try) -> usize {
    (request >> 4) as usize
}

/// What a server answers to a try, by which its client knows that a server made it for this very try.
pub fn body_of(request: Try, server: &str) -> String {
    format!("{{\"done\":\"{request:016x}\",\"by\":\"{server}\"}}")
}

/// Who waits for which request at a server.
type Waiting = HashMap<u64, oneshot::Sender<bool>>;

/// All servers of a play.
pub struct Servers {
    plan: Arc<Plan>,
    clock: Clock,
    record: Record,
    state: Mutex<(World, Waiting)>,
    reached: Mutex<HashSet<Try>>,
    wake: Notify,
    lives: Vec<watch::Sender<Life>>,
    connections: Vec<AtomicUsize>,
    most_connections: usize,
    attempts: AtomicU64,
}

impl Servers {
    /// As the play begins.
    pub fn new(plan: Arc<Plan>, clock: Clock, record: Record, most_connections: usize) -> Arc<Self> {
        let life = |first: bool| watch::channel(Life { up: first, number: 1 }).0;
        Arc::new(Self {
            state: Mutex::new((World::new(&plan), Waiting::new())),
            reached: Mutex::default(),
            lives: plan.servers.iter().map(|s| life(s.first)).collect(),
            connections: plan.servers.iter().map(|_| AtomicUsize::new(0)).collect(),
            plan,
            clock,
            record,
            wake: Notify::new(),
            most_connections,
            attempts: AtomicU64::new(0),
        })
    }

    /// Does something with the servers' core at this instant.
    pub fn with<T>(&self, what: impl FnOnce(&mut World, Us, &mut Vec<Done>) -> T) -> T {
        self.with_waiting(|world, _, now, done| what(world, now, done))
    }

    fn with_waiting<T>(&self, what: impl FnOnce(&mut World, &mut Waiting, Us, &mut Vec<Done>) -> T) -> T {
        let mut done = Vec::new();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (world, waiting) = &mut *state;
        let fallen = world.fallen().len();
        let result = what(world, waiting, self.clock.now(), &mut done);
        let fell: Vec<usize> = world.fallen()[fallen..].iter().map(|(_, server)| *server).collect();
        for done in done {
            if let Some(waiting) = waiting.remove(&done.job) {
                // Whoever waited may have left.
                let _ = waiting.send(done.served);
            }
        }
        drop(state);
        fell.into_iter().for_each(|server| self.end(server));
        self.wake.notify_one();
        result
    }

    /// Its process starts, cold.
    pub fn start(&self, server: usize) {
        self.with(|world, now, done| {
            world.advance(now, done);
            world.start(server);
        });
        self.record.note(self.clock.now(), Seen::ServerUp { server });
        self.lives[server].send_modify(|life| *life = Life { up: true, number: life.number + 1 });
    }

    /// Its process ends.
    pub fn stop(&self, server: usize) {
        self.lose(|world| world.stop(server));
        self.end(server);
    }

    /// It takes requests and answers none, or no longer so.
    pub fn silence(&self, server: usize, on: bool) {
        self.lose(|world| world.silence(server, on));
    }

    /// What a server gives up is never done: who waits for it is told so.
    fn lose(&self, what: impl FnOnce(&mut World)) {
        self.with_waiting(|world, waiting, now, done| {
            world.advance(now, done);
            // What is done until then still counts.
            for done in done.drain(..) {
                if let Some(waiting) = waiting.remove(&done.job) {
                    let _ = waiting.send(done.served);
                }
            }
            what(world);
            waiting.retain(|job, _| world.holds(*job));
        });
    }

    /// Whether a try has come to any server.
    pub fn reached(&self, request: Try) -> bool {
        self.reached.lock().unwrap_or_else(PoisonError::into_inner).contains(&request)
    }

    fn end(&self, server: usize) {
        self.lives[server].send_modify(|life| life.up = false);
    }

    /// Brings the core on as time passes. Runs for good.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next = self.with(|world, now, done| {
                world.advance(now, done);
                world.next()
            });
            // The call above has left a permit for itself.
            self.wake.notified().await;
            match next {
                Some(next) => tokio::select! {
                    () = self.clock.until(next) => {}
                    () = self.wake.notified() => {}
                },
                None => self.wake.notified().await,
            }
        }
    }

    /// Opens the door through which that sidecar reaches that server, until it is told to end.
    pub fn door(
        self: &Arc<Self>,
        host: IpAddr,
        net: &Net,
        sidecar: usize,
        server: usize,
    ) -> io::Result<(SocketAddr, AbortHandle)> {
        let (from, to) = (self.plan.sidecars[sidecar].zone, self.plan.servers[server].zone);
        let link = Link { net: net.clone(), from, to };
        let door = Door::bind(host, self.lives[server].subscribe(), link.clone())?;
        let address = door.address();
        let this = Arc::clone(self);
        let task = tokio::spawn(door.run(move |stream, life| {
            let (near, far) = duplex(BUFFER);
            this.record.note(this.clock.now(), Seen::Handshake { sidecar, server });
            let mut lives = this.lives[server].subscribe();
            let ended = async move {
                let _ = lives.wait_for(|l| !l.up || l.number != life).await;
            };
            tokio::spawn(Arc::clone(&this).connection(far, sidecar, server));
            tokio::spawn(join(stream, near, link.clone(), ended));
        }));
        Ok((address, task.abort_handle()))
    }

    async fn connection(self: Arc<Self>, stream: DuplexStream, sidecar: usize, server: usize) {
        let held = self.connections[server].fetch_add(1, Ordering::SeqCst);
        let (began, fresh) = (Arc::new(AtomicU64::new(u64::MAX)), Arc::new(AtomicUsize::new(1)));
        let stamped = Stamped { stream, clock: self.clock.clone(), began: Arc::clone(&began) };
        let full = held >= self.most_connections;
        let this = Arc::clone(&self);
        let service = service_fn(move |request| {
            let at = began.swap(u64::MAX, Ordering::SeqCst);
            let fresh = fresh.swap(0, Ordering::SeqCst) == 1;
            Arc::clone(&this).answer(request, sidecar, server, at, fresh, full)
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(Duration::from_micros(site::IDLE_CLOSE));
        // What is wrong with a connection concerns its sidecar alone.
        let _ = builder.serve_connection(TokioIo::new(stamped), service).await;
        self.connections[server].fetch_sub(1, Ordering::SeqCst);
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        sidecar: usize,
        server: usize,
        began: Us,
        fresh: bool,
        full: bool,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        if request.uri().path() == "/alive" || request.uri().path() == "/metrics/load" {
            return Ok(self.probed(server));
        }
        let (head, body) = request.into_parts();
        if Limited::new(body, LONGEST_BODY).collect().await.is_err() {
            return Ok(plain(StatusCode::BAD_REQUEST));
        }
        let text = |name: &str| text(&head.headers, name);
        let request = text("x-correlation-id").and_then(|id| Try::from_str_radix(id, 16).ok());
        let number = self.attempts.fetch_add(1, Ordering::SeqCst);
        let arrival = request.and_then(|request| self.plan.arrivals.get(arrival_of(request)));
        let at = self.clock.now();
        self.record.note(at, Seen::Attempt { number, request, sidecar, server, began: began.min(at) });
        let (Some(request), Some(arrival)) = (request, arrival) else {
            return Ok(plain(StatusCode::BAD_REQUEST));
        };
        self.reached.lock().unwrap_or_else(PoisonError::into_inner).insert(request);
        let keyed = CLASSES[arrival.class].repeat == Repeat::Keyed;
        let once =
            text("idempotency-key").filter(|_| keyed).and_then(|key| u64::from_str_radix(key, 16).ok());
        let job = Job { id: number, class: arrival.class, work: arrival.work, key: arrival.key, once, fresh };
        let answered = |status: u16, unprocessed| {
            self.record.note(self.clock.now(), Seen::AttemptAnswered { number, status, unprocessed });
        };
        let (admitted, waits) = if full { (Admission::Refused, None) } else { self.submit(server, job) };
        let served = match admitted {
            Admission::Refused => {
                answered(503, true);
                let mut refused = plain(StatusCode::SERVICE_UNAVAILABLE);
                refused.headers_mut().insert("x-unprocessed", HeaderValue::from_static("1"));
                return Ok(refused);
            }
            Admission::Repeated => Some(true),
            Admission::Swallowed => None,
            Admission::Taken => match waits {
                Some(waits) => waits.await.ok(),
                None => None,
            },
        };
        match served {
            Some(true) => {
                answered(200, false);
                let body = body_of(request, &self.plan.servers[server].name);
                Ok(Response::new(Full::new(Bytes::from(body))))
            }
            Some(false) => {
                answered(500, false);
                Ok(plain(StatusCode::INTERNAL_SERVER_ERROR))
            }
            None => {
                self.record.note(self.clock.now(), Seen::AttemptSwallowed { number });
                // Until the connection ends.
                std::future::pending().await
            }
        }
    }

    fn submit(&self, server: usize, job: Job) -> (Admission, Option<oneshot::Receiver<bool>>) {
        self.with_waiting(|world, waiting, now, done| {
            let admitted = world.submit(now, server, job, done);
            if admitted != Admission::Taken {
                return (admitted, None);
            }
            let (sender, receiver) = oneshot::channel();
            waiting.insert(job.id, sender);
            (admitted, Some(receiver))
        })
    }

    fn probed(&self, server: usize) -> Response<Full<Bytes>> {
        self.record.note(self.clock.now(), Seen::Probe { server });
        let held = self.with(|world, now, done| {
            world.probe(now, server, done);
            world.held(server)
        });
        Response::new(Full::new(Bytes::from(format!("inflight={held},eps=0"))))
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// A stream that notes when the first byte of a request came: the first since that note was last taken.
struct Stamped {
    stream: DuplexStream,
    clock: Clock,
    began: Arc<AtomicU64>,
}

impl AsyncRead for Stamped {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() && buf.filled().len() > before {
            let now = self.clock.now();
            let _ = self.began.compare_exchange(u64::MAX, now, Ordering::SeqCst, Ordering::SeqCst);
        }
        polled
    }
}

impl AsyncWrite for Stamped {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
