//! Tests of `serve.rs`.

use super::*;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::LocalSet;

const MAX_CONNECTIONS: usize = 4;
const TIME_LIMIT: Duration = Duration::from_secs(30);
const REQUEST: &[u8] = b"GET /any HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

/// A server whose only page is answered once the test permits.
struct Server {
    address: SocketAddr,
    asked: Rc<Notify>,
    permitted: Rc<Notify>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("its address");
        let (asked, permitted): (Rc<Notify>, Rc<Notify>) = Default::default();
        let (asking, permission) = (Rc::clone(&asked), Rc::clone(&permitted));
        let page = move |_: PageRequest, _: Rc<Cell<bool>>| {
            let (asking, permission) = (Rc::clone(&asking), Rc::clone(&permission));
            async move {
                asking.notify_one();
                permission.notified().await;
                Answer::json(StatusCode::OK, json!({}))
            }
        };
        spawn_local(serve(listener, MAX_CONNECTIONS, TIME_LIMIT, 1024, page));
        Self {
            address,
            asked,
            permitted,
        }
    }

    async fn send(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("it accepts");
        stream.write_all(bytes).await.expect("it takes them");
        stream
    }
}

/// Runs a test in a runtime of one thread, as the coordinator has.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(TIME_LIMIT, test).await.expect("it ends in time");
    });
}

/// Waits until the server has closed one of its connections.
async fn wait_for_close(stream: &mut TcpStream) {
    // A reset is an end as well.
    let _ = stream.read(&mut [0]).await;
}

// The oldest connection used to be closed even while its request was carried out, so that peers
// that only connect kept callers from their answers.
#[test]
fn a_request_in_hand_keeps_its_connection_when_others_stop_half_way() {
    run(async {
        let server = Server::start().await;
        let mut caller = server.send(REQUEST).await;
        server.asked.notified().await;
        let mut stopped = Vec::new();
        for _ in 0..2 * MAX_CONNECTIONS {
            stopped.push(server.send(&REQUEST[..20]).await);
        }
        wait_for_close(&mut stopped[0]).await;
        server.permitted.notify_one();
        let mut answer = String::new();
        let read = caller.read_to_string(&mut answer).await;
        assert!(
            read.is_ok() && answer.starts_with("HTTP/1.1 200"),
            "{answer:?}"
        );
    });
}

// Requests that are never answered must not keep out new callers either.
#[test]
fn a_new_caller_is_served_although_all_connections_wait_for_answers() {
    run(async {
        let server = Server::start().await;
        let mut waiting = Vec::new();
        for _ in 0..=MAX_CONNECTIONS {
            waiting.push(server.send(REQUEST).await);
            server.asked.notified().await;
        }
        wait_for_close(&mut waiting[0]).await;
    });
}
