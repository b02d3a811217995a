//! What is kept, and what makes way.

use super::*;

#[tokio::test]
async fn without_room_for_a_connection_an_idle_one_makes_way_or_none_is_dialled() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let pool = Pool::new(1, 5_000_000, 10_000_000);
    let (connection, permit) = pool.dial(address).await.expect("there is room");
    assert!(pool.dial(address).await.is_none());
    let endpoint = pool.endpoint(0);
    endpoint.set(Some(address), true);
    pool.park(&endpoint, address, connection, permit).await;
    assert!(pool.dial(address).await.is_some());
    assert!(pool.reuse(&endpoint).is_none());
    listener.set_nonblocking(true).expect("it can");
    assert_eq!((0..3).filter(|_| listener.accept().is_ok()).count(), 2);
}
