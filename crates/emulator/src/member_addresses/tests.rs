//! Tests of `fronts.rs`.

use super::*;
use crate::datagrams::tests::read_up;
use crate::experiment::{Network, Way};
use std::net::Ipv4Addr;
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(20);

#[tokio::test]
async fn members_know_each_other_by_their_fronts_and_a_cut_parts_zones() {
    let net = Net::new(&Network::default());
    let (_faults, told) = watch::channel(Datagrams::default());
    let host = |_| {
        (
            IpAddr::V4(Ipv4Addr::new(127, 0, 0, 3)),
            IpAddr::V4(Ipv4Addr::LOCALHOST),
        )
    };
    let (fronts, _tasks) = MemberAddresses::open(&[0, 1], host, &net, &told)
        .await
        .expect("free ports");
    let [a, b] = [fronts.addresses[0], fronts.addresses[1]];
    let (one, two) = (
        UdpSocket::bind(a.own).await.expect("its own"),
        UdpSocket::bind(b.own).await.expect("its own"),
    );
    let mut bytes = [0; 8];
    one.send_to(&[1], b.front).await.expect("it goes out");
    let (length, from) = timeout(LONG, two.recv_from(&mut bytes))
        .await
        .expect("in time")
        .expect("it comes");
    assert_eq!((length, from), (1, a.front));
    // What is sent into a cut, or by a stranger, never comes: the next to come is the one after.
    net.cut(0, Way::Out, true);
    one.send_to(&[2], b.front).await.expect("it goes out");
    read_up(b.front).await;
    net.cut(0, Way::Out, false);
    let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    stranger.send_to(&[3], b.front).await.expect("it goes out");
    read_up(b.front).await;
    one.send_to(&[4], b.front).await.expect("it goes out");
    timeout(LONG, two.recv_from(&mut bytes))
        .await
        .expect("in time")
        .expect("it comes");
    assert_eq!(bytes[0], 4);
}

#[test]
fn everyone_is_told_of_some_others() {
    let at = |n: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, n));
    let addresses: Vec<Address> = (1..=10)
        .map(|n| Address {
            own: at(n),
            front: at(100 + n),
        })
        .collect();
    let text = section(&addresses, 0, 2000);
    assert!(
        text.contains("listen = \"127.0.0.1:1\"") && text.contains("clock_offset = 2000"),
        "{text}"
    );
    assert!(
        text.contains("\"127.0.0.1:102\"") && !text.contains("seeds = [\"127.0.0.1:101\""),
        "{text}"
    );
    assert!(!section(&addresses, 3, 0).contains("clock_offset"));
}
