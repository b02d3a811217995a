//! Tests of datagram faults, on sockets.

use super::*;
use crate::experiment::{Network, Way};
use crate::net::Net;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval and largest number of polls of a socket: twenty seconds.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const MAX_POLLS: usize = 20_000;

/// Waits until everything sent to the socket at that address has been read, so that the network's
/// state until then has applied. As there is a single thread, the reader has also handled it by
/// then.
pub(crate) async fn wait_until_read(at: SocketAddr) {
    let SocketAddr::V4(at) = at else {
        panic!("{at} is not an address of IPv4")
    };
    let local = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(at.ip().octets()),
        at.port()
    );
    for _ in 0..MAX_POLLS {
        let table = std::fs::read_to_string("/proc/net/udp").expect("the table of sockets");
        let line = table
            .lines()
            .find(|line| line.split_whitespace().nth(1) == Some(&local));
        // The send queue and the receive queue.
        let queues = line
            .and_then(|line| line.split_whitespace().nth(4))
            .expect("the socket is there");
        if queues.ends_with(":00000000") {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("what was sent to {at} is not read");
}

#[tokio::test]
async fn datagrams_are_lost_duplicated_and_partitioned() {
    let net = Net::new(&Network::default());
    let bind = || async { UdpSocket::bind("127.0.0.1:0").await.expect("a free port") };
    let (incoming, outgoing, receiver, sender) = (
        bind().await,
        Arc::new(bind().await),
        bind().await,
        bind().await,
    );
    let (relay_address, target) = (
        incoming.local_addr().expect("an address"),
        receiver.local_addr().expect("an address"),
    );
    let (faults, fault_receiver) = watch::channel(DatagramFaults {
        duplicated_share: 1.0,
        ..DatagramFaults::default()
    });
    let link = Link {
        net: net.clone(),
        from: 0,
        to: 1,
    };
    tokio::spawn(relay_datagrams(
        incoming,
        outgoing,
        target,
        link,
        fault_receiver,
    ));
    let mut bytes = [0; 8];
    let mut receive = async || {
        timeout(TEST_TIMEOUT, receiver.recv(&mut bytes))
            .await
            .expect("in time")
            .map(|_| bytes[0])
    };
    sender
        .send_to(&[1], relay_address)
        .await
        .expect("it goes out");
    assert_eq!(
        [
            receive().await.expect("one"),
            receive().await.expect("its copy")
        ],
        [1, 1]
    );
    // Lost and partitioned datagrams never arrive: the next one received is a later one.
    faults.send_replace(DatagramFaults {
        lost_share: 1.0,
        ..DatagramFaults::default()
    });
    sender
        .send_to(&[2], relay_address)
        .await
        .expect("it goes out");
    wait_until_read(relay_address).await;
    faults.send_replace(DatagramFaults::default());
    net.set_partition(0, Way::Out, true);
    sender
        .send_to(&[3], relay_address)
        .await
        .expect("it goes out");
    wait_until_read(relay_address).await;
    net.set_partition(0, Way::Out, false);
    sender
        .send_to(&[4], relay_address)
        .await
        .expect("it goes out");
    assert_eq!(receive().await.expect("one"), 4);
}
