//! What is kept, and what makes way.

use super::*;
use std::future::Future;
use std::io::Write;
use std::net::TcpListener;

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// One whose queue is full with one connection: the system drops further openings.
fn listen_without_room() -> (TcpListener, SocketAddr) {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket
        .bind(&any.into())
        .and_then(|()| socket.listen(0))
        .expect("a free port");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

#[tokio::test]
async fn without_room_for_a_connection_an_idle_one_makes_way_or_none_is_dialled() {
    let (listener, address) = listen();
    let pool = Pool::new(1, 5_000_000, 10_000_000);
    let (connection, permit) = pool.dial(address).await.expect("there is room");
    assert!(matches!(pool.dial(address).await, Err(DialError::NoRoom)));
    let endpoint = pool.endpoint(0);
    endpoint.set(
        Some(Target {
            address,
            since_ms: 0,
        }),
        true,
    );
    pool.park(
        &endpoint,
        Target {
            address,
            since_ms: 0,
        },
        connection,
        permit,
    )
    .await;
    assert!(pool.dial(address).await.is_ok());
    // Longer than it would have had to rest.
    tokio::time::sleep(2 * REST).await;
    assert!(pool.reuse(&endpoint).await.is_none());
    listener.set_nonblocking(true).expect("it can");
    assert_eq!((0..3).filter(|_| listener.accept().is_ok()).count(), 2);
}

/// Two connections, the older one idle at endpoint 0 and the newer one at endpoint 1, and their
/// peers.
async fn two_idle(pool: &Pool) -> [std::net::TcpStream; 2] {
    let mut peers = Vec::new();
    for id in 0..2 {
        let (listener, address) = listen();
        let (connection, permit) = pool.dial(address).await.expect("there is room");
        let endpoint = pool.endpoint(id);
        endpoint.set(
            Some(Target {
                address,
                since_ms: 0,
            }),
            true,
        );
        pool.park(
            &endpoint,
            Target {
                address,
                since_ms: 0,
            },
            connection,
            permit,
        )
        .await;
        peers.push(listener.accept().expect("a connection").0);
    }
    peers.try_into().expect("two")
}

/// Waits until the peer's close or words have arrived.
async fn arrival(pool: &Pool, id: usize) {
    let endpoint = pool.endpoint(id);
    let until = Instant::now() + Duration::from_secs(30);
    while endpoint.idle.borrow().iter().any(|i| i.connection.usable()) {
        assert!(Instant::now() < until, "it never arrived");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

// One that its endpoint has closed is of no more use, however new it is.
#[tokio::test]
async fn a_connection_that_its_endpoint_has_ended_makes_way_before_one_that_is_good() {
    for spoken in [false, true] {
        let pool = Pool::new(2, 5_000_000, 10_000_000);
        let [_older, mut newer] = two_idle(&pool).await;
        if spoken {
            newer.write_all(b"unasked").expect("it takes it");
        } else {
            newer.shutdown(std::net::Shutdown::Both).expect("it closes");
        }
        arrival(&pool, 1).await;
        let (_listener, third) = listen();
        let _held = pool.dial(third).await.expect("room is made");
        tokio::time::sleep(2 * REST).await;
        assert!(
            pool.reuse(&pool.endpoint(0)).await.is_some(),
            "the good one made way"
        );
    }
}

// However a dial ends, its room is free again.
#[tokio::test]
async fn a_dial_that_fails_or_is_given_up_leaves_its_room() {
    let pool = Pool::new(1, 5_000_000, 10_000_000);
    let (listener, address) = listen();
    let refused = {
        let (closed, address) = listen();
        drop(closed);
        address
    };
    for _ in 0..3 {
        assert_eq!(pool.dial(refused).await.err(), Some(DialError::Unreachable));
        // Polled once: it is under way, or has come up just now.
        let mut dial = Box::pin(pool.dial(address));
        std::future::poll_fn(|cx| {
            let _ = dial.as_mut().poll(cx);
            std::task::Poll::Ready(())
        })
        .await;
        drop(dial);
    }
    assert!(pool.dial(address).await.is_ok());
    drop(listener);
}

// One that never comes up ends with the time for it.
#[tokio::test]
async fn a_dial_that_never_comes_up_ends_and_leaves_its_room() {
    let (_listener, address) = listen_without_room();
    let _filler = std::net::TcpStream::connect(address).expect("one fits");
    let pool = Pool::new(1, 100_000, 10_000_000);
    for _ in 0..2 {
        assert_eq!(pool.dial(address).await.err(), Some(DialError::Unreachable));
    }
}

/// Connections made for that many requests a second to one endpoint, which answers each after 30 ms
/// on average.
fn made(per_second: f64, idle_time: Duration, rest: Duration) -> usize {
    let (mut rng, start) = (fastrand::Rng::with_seed(1), Instant::now());
    let mut wait = |mean: f64| Duration::from_secs_f64(-mean * (1.0 - rng.f64()).ln());
    let (mut now, mut idle, mut made) = (start, Vec::<Instant>::new(), 0);
    let mut answers = Vec::<Instant>::new();
    for _ in 0..REQUESTS {
        now += wait(1.0 / per_second);
        idle.extend(answers.extract_if(.., |at| *at <= now));
        idle.sort();
        idle.retain(|since| now.duration_since(*since) < idle_time);
        let sent = match next_rested(idle.iter().copied(), now, rest) {
            Some(next) => now.max(idle.remove(next) + rest),
            None => {
                made += 1;
                now
            }
        };
        answers.push(sent + wait(0.03));
    }
    made
}

const REQUESTS: usize = 20_000;

// What comes during a rest goes on the connection that rests: no other is made for it.
#[tokio::test]
async fn a_request_waits_for_the_end_of_a_rest_and_takes_that_connection() {
    let (listener, address) = listen();
    let pool = Pool::new(2, 5_000_000, 10_000_000);
    let (connection, permit) = pool.dial(address).await.expect("there is room");
    let (endpoint, target) = (
        pool.endpoint(0),
        Target {
            address,
            since_ms: 0,
        },
    );
    endpoint.set(Some(target), true);
    pool.park(&endpoint, target, connection, permit).await;
    let parked = endpoint.idle.borrow()[0].since;
    assert!(pool.reuse(&endpoint).await.is_some());
    assert!(
        parked.elapsed() >= REST,
        "it was handed out before its rest was over"
    );
    drop(listener);
}

// 16 requests a second over eight endpoints, and four times as many.
#[test]
fn a_rest_costs_few_connections() {
    for per_second in [2.0, 8.0] {
        for idle_ms in [1750, 8750] {
            let idle = Duration::from_millis(idle_ms);
            let [without, with] = [Duration::ZERO, REST].map(|rest| made(per_second, idle, rest));
            println!(
                "{per_second}/s, idle {idle_ms} ms: {without} of {REQUESTS}, with a rest {with}"
            );
            assert!(
                with <= without + REQUESTS / 100,
                "{per_second}/s, idle {idle_ms} ms: {without}, {with}"
            );
        }
    }
}
