//! Tests of reuse, limits and eviction of connections.

use super::*;
use std::future::Future;
use std::io::Write;
use std::net::TcpListener;

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A listener whose backlog is full with one connection, so that the system drops further ones.
fn listen_with_full_backlog() -> (TcpListener, SocketAddr) {
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
    let pool = Pool::new(1, 5_000_000, 10_000_000, MemoryShare::new(1 << 20));
    let (connection, permit) = pool.dial(address).await.expect("there is room");
    assert!(matches!(
        pool.dial(address).await,
        Err(DialError::Exhausted)
    ));
    let endpoint = pool.endpoint(0);
    endpoint.update(
        Some(Target {
            address,
            started_ms: 0,
        }),
        true,
    );
    pool.park(
        &endpoint,
        Target {
            address,
            started_ms: 0,
        },
        connection,
        permit,
    )
    .await;
    assert!(pool.dial(address).await.is_ok());
    // Longer than the reuse delay.
    tokio::time::sleep(2 * REUSE_DELAY).await;
    assert!(pool.take_idle(&endpoint).await.is_none());
    listener.set_nonblocking(true).expect("it can");
    assert_eq!((0..3).filter(|_| listener.accept().is_ok()).count(), 2);
}

/// Opens two connections, the older one idle at endpoint 0 and the newer one at endpoint 1; returns
/// their peers.
async fn two_idle(pool: &Pool) -> [std::net::TcpStream; 2] {
    let mut peers = Vec::new();
    for id in 0..2 {
        let (listener, address) = listen();
        let (connection, permit) = pool.dial(address).await.expect("there is room");
        let endpoint = pool.endpoint(id);
        endpoint.update(
            Some(Target {
                address,
                started_ms: 0,
            }),
            true,
        );
        pool.park(
            &endpoint,
            Target {
                address,
                started_ms: 0,
            },
            connection,
            permit,
        )
        .await;
        peers.push(listener.accept().expect("a connection").0);
    }
    peers.try_into().expect("two")
}

/// Waits until the peer's close or its bytes have arrived.
async fn wait_until_unusable(pool: &Pool, id: usize) {
    let endpoint = pool.endpoint(id);
    let until = Instant::now() + Duration::from_secs(30);
    while endpoint
        .idle
        .borrow()
        .iter()
        .any(|i| i.connection.is_usable())
    {
        assert!(Instant::now() < until, "it never arrived");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

// A connection that its endpoint has closed is useless, however new it is.
#[tokio::test]
async fn a_connection_that_its_endpoint_has_ended_makes_way_before_one_that_is_good() {
    for spoken in [false, true] {
        let pool = Pool::new(2, 5_000_000, 10_000_000, MemoryShare::new(1 << 20));
        let [_older, mut newer] = two_idle(&pool).await;
        if spoken {
            newer.write_all(b"unasked").expect("it takes it");
        } else {
            newer.shutdown(std::net::Shutdown::Both).expect("it closes");
        }
        wait_until_unusable(&pool, 1).await;
        let (_listener, third) = listen();
        let _held = pool.dial(third).await.expect("room is made");
        tokio::time::sleep(2 * REUSE_DELAY).await;
        assert!(
            pool.take_idle(&pool.endpoint(0)).await.is_some(),
            "the good one made way"
        );
    }
}

// However a dial ends, its permit is released.
#[tokio::test]
async fn a_dial_that_fails_or_is_given_up_leaves_its_room() {
    let pool = Pool::new(1, 5_000_000, 10_000_000, MemoryShare::new(1 << 20));
    let (listener, address) = listen();
    let refused = {
        let (closed, address) = listen();
        drop(closed);
        address
    };
    for _ in 0..3 {
        assert_eq!(pool.dial(refused).await.err(), Some(DialError::Unreachable));
        // Polled once: it is in progress, or was just established.
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

// A dial that is never answered ends with its timeout.
#[tokio::test]
async fn a_dial_that_never_comes_up_ends_and_leaves_its_room() {
    let (_listener, address) = listen_with_full_backlog();
    let _filler = std::net::TcpStream::connect(address).expect("one fits");
    let pool = Pool::new(1, 100_000, 10_000_000, MemoryShare::new(1 << 20));
    for _ in 0..2 {
        assert_eq!(pool.dial(address).await.err(), Some(DialError::Unreachable));
    }
}

/// Connections dialled for that many requests per second to one endpoint, which answers each after
/// 30 ms on average.
fn count_dials(per_second: f64, max_idle: Duration, delay: Duration) -> usize {
    let (mut rng, start) = (fastrand::Rng::with_seed(1), Instant::now());
    let mut wait = |mean: f64| Duration::from_secs_f64(-mean * (1.0 - rng.f64()).ln());
    let (mut now, mut idle, mut dials) = (start, Vec::<Instant>::new(), 0);
    let mut answers = Vec::<Instant>::new();
    for _ in 0..REQUESTS {
        now += wait(1.0 / per_second);
        idle.extend(answers.extract_if(.., |at| *at <= now));
        idle.sort();
        idle.retain(|since| now.duration_since(*since) < max_idle);
        let sent = match next_reusable(idle.iter().copied(), now, delay) {
            Some(next) => now.max(idle.remove(next) + delay),
            None => {
                dials += 1;
                now
            }
        };
        answers.push(sent + wait(0.03));
    }
    dials
}

const REQUESTS: usize = 20_000;

// A request during the reuse delay of the only connection waits for it instead of dialling.
#[tokio::test]
async fn a_request_waits_for_the_end_of_a_rest_and_takes_that_connection() {
    let (listener, address) = listen();
    let pool = Pool::new(2, 5_000_000, 10_000_000, MemoryShare::new(1 << 20));
    let (connection, permit) = pool.dial(address).await.expect("there is room");
    let (endpoint, target) = (
        pool.endpoint(0),
        Target {
            address,
            started_ms: 0,
        },
    );
    endpoint.update(Some(target), true);
    pool.park(&endpoint, target, connection, permit).await;
    let parked = endpoint.idle.borrow()[0].last_used;
    assert!(pool.take_idle(&endpoint).await.is_some());
    assert!(
        parked.elapsed() >= REUSE_DELAY,
        "it was handed out before its rest was over"
    );
    drop(listener);
}

// 16 requests per second over eight endpoints, and four times as many.
#[test]
fn a_rest_costs_few_connections() {
    for per_second in [2.0, 8.0] {
        for idle_ms in [1750, 8750] {
            let idle = Duration::from_millis(idle_ms);
            let [without_delay, with_delay] =
                [Duration::ZERO, REUSE_DELAY].map(|delay| count_dials(per_second, idle, delay));
            println!(
                "{per_second}/s, idle {idle_ms} ms: {without_delay} of {REQUESTS}, with a rest {with_delay}"
            );
            assert!(
                with_delay <= without_delay + REQUESTS / 100,
                "{per_second}/s, idle {idle_ms} ms: {without_delay}, {with_delay}"
            );
        }
    }
}
