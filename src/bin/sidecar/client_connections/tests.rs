//! Tests of `client_connections.rs`.

use super::*;
use std::io::Write;
use std::net::TcpListener;
use tokio::time::timeout;

/// Long enough for everything that happens at once.
const SOON: Duration = Duration::from_secs(10);

/// Runs a test in a runtime of one thread, as the sidecar has.
fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test);
}

/// A connection, and its other end.
async fn connect() -> (TcpStream, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let ours = TcpStream::connect(address).await.expect("it accepts");
    (ours, listener.accept().expect("the connection").0)
}

fn connections(limit: usize) -> Rc<ClientConnections> {
    ClientConnections::new(
        limit,
        MessageMemory::of_process(32 << 20),
        Observer::disabled(),
    )
}

#[test]
fn a_connection_that_sent_nothing_makes_room_for_a_new_one() {
    run(async {
        let connections = connections(1);
        let (stream, _peer) = connect().await;
        let place = connections.open(stream);
        let closing = async {
            place.evicted().await;
            drop(place);
        };
        let both = async { tokio::join!(connections.wait_for_room(), closing) };
        timeout(SOON, both).await.expect("there is room");
    });
}

// Bytes that the process has not read yet may be the rest of a request that its client was promised
// an answer to.
#[test]
fn a_connection_with_unread_bytes_is_read_before_it_may_be_closed() {
    run(async {
        let connections = connections(1);
        let (stream, mut peer) = connect().await;
        let place = connections.open(stream);
        peer.write_all(b"GET").expect("the system takes it");
        place
            .client()
            .stream()
            .readable()
            .await
            .expect("it has bytes");
        let later = Instant::now() + STALL_TIME;
        assert!(connections.make_room(later) > Some(later));
        assert!(!place.connection.is_evicted());
    });
}

#[test]
fn one_connection_is_closed_for_one_new_one() {
    run(async {
        let connections = connections(2);
        let (first, second) = (connect().await, connect().await);
        let places = [connections.open(first.0), connections.open(second.0)];
        let later = Instant::now() + STALL_TIME;
        for _ in 0..3 {
            assert_eq!(connections.make_room(later), None);
        }
        let evicted = |place: &Place| place.connection.is_evicted();
        assert_eq!(
            places.iter().map(evicted).collect::<Vec<_>>(),
            [true, false]
        );
    });
}
