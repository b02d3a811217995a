//! A stub endpoint.

use super::message::{Message, answer, read_message};
use socket2::SockRef;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How an endpoint handles a request.
pub enum Reply {
    /// Responds with status, further headers and body.
    Answer(u16, &'static str, Vec<u8>),
    /// Responds likewise, and closes the connection without announcing it.
    AnswerAndClose(u16, &'static str, Vec<u8>),
    /// Responds likewise after a delay.
    Later(Duration, Vec<u8>),
    /// Keeps the connection open without a response.
    Silence,
    /// Closes the connection.
    Close,
    /// Passes the connection to a function of the test, which decides what happens to it
    /// afterwards.
    By(Box<dyn FnOnce(&mut TcpStream) -> Afterwards + Send>),
}

/// What happens to a connection afterwards.
#[derive(Clone, Copy)]
pub enum Afterwards {
    /// It serves the next request.
    KeepOn,
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
}

impl Reply {
    /// Writes these bytes, and then handles the connection as given.
    pub fn bytes(bytes: impl Into<Vec<u8>>, then: Afterwards) -> Self {
        let bytes = bytes.into();
        Self::By(Box::new(move |stream| {
            // The sidecar may have closed the connection.
            let _ = stream.write_all(&bytes);
            then
        }))
    }
}

/// An endpoint that records the requests it receives.
pub struct Endpoint {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Message>>>,
    /// Numbers of accepted connections, and of those closed by the sidecar.
    pub made: Arc<AtomicUsize>,
    pub closed: Arc<AtomicUsize>,
}

impl Endpoint {
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::on(
            TcpListener::bind("127.0.0.1:0").expect("a free port"),
            reply,
        )
    }

    pub fn on(
        listener: TcpListener,
        reply: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("an address");
        let endpoint = Self {
            address,
            seen: Arc::default(),
            made: Arc::default(),
            closed: Arc::default(),
        };
        let (seen, made, closed) = (
            endpoint.seen.clone(),
            endpoint.made.clone(),
            endpoint.closed.clone(),
        );
        let reply = Arc::new(reply);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                made.fetch_add(1, Ordering::SeqCst);
                let (seen, closed, reply) = (seen.clone(), closed.clone(), reply.clone());
                thread::spawn(move || serve(stream, &seen, &closed, &*reply));
            }
        });
        endpoint
    }

    pub fn requests(&self) -> usize {
        self.seen.lock().expect("no stub panics").len()
    }

    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }
}

fn serve(
    mut stream: TcpStream,
    seen: &Mutex<Vec<Message>>,
    closed: &AtomicUsize,
    reply: &dyn Fn(&Message) -> Reply,
) {
    while let Some(message) = read_message(&mut stream) {
        let reply = reply(&message);
        seen.lock().expect("no stub panics").push(message);
        match reply {
            Reply::Answer(status, headers, body) => answer(&mut stream, status, headers, &body),
            Reply::AnswerAndClose(status, headers, body) => {
                answer(&mut stream, status, headers, &body);
                return;
            }
            Reply::Later(time, body) => {
                thread::sleep(time);
                answer(&mut stream, 200, "", &body);
            }
            Reply::Silence => {}
            Reply::Close => return,
            Reply::By(act) => match act(&mut stream) {
                Afterwards::KeepOn => {}
                Afterwards::Close => return,
                Afterwards::Reset => return reset(&stream),
            },
        }
    }
    closed.fetch_add(1, Ordering::SeqCst);
}

/// Makes the connection end with a reset once it is dropped.
fn reset(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("it can linger for no time");
}
