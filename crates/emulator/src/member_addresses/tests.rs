//! Tests of `member_addresses.rs`.

use super::*;
use crate::datagrams::tests::wait_until_read;
use crate::experiment::{Network, Way};
use std::net::Ipv4Addr;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn members_reach_each_other_at_public_addresses_and_a_partition_blocks_them() {
    let net = Net::new(&Network::default());
    let (_faults, fault_receiver) = watch::channel(DatagramFaults::default());
    let host = |_| {
        (
            IpAddr::V4(Ipv4Addr::new(127, 0, 0, 3)),
            IpAddr::V4(Ipv4Addr::LOCALHOST),
        )
    };
    let (member_addresses, _tasks) = MemberAddresses::open(&[0, 1], host, &net, &fault_receiver)
        .await
        .expect("free ports");
    let [a, b] = [member_addresses.addresses[0], member_addresses.addresses[1]];
    let (one, two) = (
        UdpSocket::bind(a.own).await.expect("its own"),
        UdpSocket::bind(b.own).await.expect("its own"),
    );
    let mut bytes = [0; 8];
    one.send_to(&[1], b.public).await.expect("it goes out");
    let (length, from) = timeout(TEST_TIMEOUT, two.recv_from(&mut bytes))
        .await
        .expect("in time")
        .expect("it comes");
    assert_eq!((length, from), (1, a.public));
    // Datagrams into a partition or from a stranger never arrive: the next one received is a later
    // one.
    net.set_partition(0, Way::Out, true);
    one.send_to(&[2], b.public).await.expect("it goes out");
    wait_until_read(b.public).await;
    net.set_partition(0, Way::Out, false);
    let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    stranger.send_to(&[3], b.public).await.expect("it goes out");
    wait_until_read(b.public).await;
    one.send_to(&[4], b.public).await.expect("it goes out");
    timeout(TEST_TIMEOUT, two.recv_from(&mut bytes))
        .await
        .expect("in time")
        .expect("it comes");
    assert_eq!(bytes[0], 4);
}

#[test]
fn every_member_has_some_seeds() {
    let at = |n: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, n));
    let addresses: Vec<MemberAddress> = (1..=10)
        .map(|n| MemberAddress {
            own: at(n),
            public: at(100 + n),
        })
        .collect();
    let text = fleet_section_text(&addresses, 0, 2000);
    assert!(
        text.contains("listen = \"127.0.0.1:1\"") && text.contains("clock_offset = 2000"),
        "{text}"
    );
    assert!(
        text.contains("\"127.0.0.1:102\"") && !text.contains("seeds = [\"127.0.0.1:101\""),
        "{text}"
    );
    assert!(!fleet_section_text(&addresses, 3, 0).contains("clock_offset"));
}
