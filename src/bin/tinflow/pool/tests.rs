//! What is kept, and what makes way.

use super::*;

#[tokio::test]
async fn without_room_for_a_connection_an_idle_one_makes_way_or_none_is_dialled() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let pool = Pool::new(1, 5_000_000, 10_000_000);
    let (connection, permit) = pool.dial(address).await.expect("there is room");
    assert!(matches!(pool.dial(address).await, Err(DialError::NoRoom)));
    let endpoint = pool.endpoint(0);
    endpoint.set(Some(address), true, 0);
    pool.park(&endpoint, address, connection, permit).await;
    assert!(pool.dial(address).await.is_ok());
    // Longer than it would have had to rest.
    tokio::time::sleep(2 * REST).await;
    assert!(pool.reuse(&endpoint).is_none());
    listener.set_nonblocking(true).expect("it can");
    assert_eq!((0..3).filter(|_| listener.accept().is_ok()).count(), 2);
}

/// Connections made for that many requests a second to one endpoint, which answers each after 30 ms on average.
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
        match last_rested(idle.iter().copied(), now, rest) {
            Some(rested) => drop(idle.remove(rested)),
            None => made += 1,
        }
        answers.push(now + wait(0.03));
    }
    made
}

const REQUESTS: usize = 20_000;

// 16 requests a second over eight endpoints, and four times as many.
#[test]
fn a_rest_costs_few_connections() {
    for per_second in [2.0, 8.0] {
        for idle_ms in [1750, 8750] {
            let idle = Duration::from_millis(idle_ms);
            let [without, with] = [Duration::ZERO, REST].map(|rest| made(per_second, idle, rest));
            println!("{per_second}/s, idle {idle_ms} ms: {without} of {REQUESTS}, with a rest {with}");
            assert!(with <= without + REQUESTS / 25, "{per_second}/s, idle {idle_ms} ms: {without}, {with}");
        }
    }
}
