//! What becomes of datagrams, on sockets.

use super::*;
use crate::experiment::{Network, Way};
use crate::net::Net;
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(20);
/// Pause between two looks at a socket, and most of them: twenty seconds.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const POLLS: usize = 20_000;

/// Waits until all that was sent to the socket at that address has been read, whatever the machine
/// is busy with: what was true of the network until then is what counted. On one thread, who reads
/// it has decided on it by then.
pub(crate) async fn read_up(at: SocketAddr) {
    let SocketAddr::V4(at) = at else {
        panic!("{at} is not an address of IPv4")
    };
    let local = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(at.ip().octets()),
        at.port()
    );
    for _ in 0..POLLS {
        let table = std::fs::read_to_string("/proc/net/udp").expect("the table of sockets");
        let line = table
            .lines()
            .find(|line| line.split_whitespace().nth(1) == Some(&local));
        // Two queues: what is to be sent, and what is to be read.
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
async fn datagrams_are_lost_repeated_and_cut() {
    let net = Net::new(&Network::default());
    let bind = || async { UdpSocket::bind("127.0.0.1:0").await.expect("a free port") };
    let (at, out, receiver, sender) = (
        bind().await,
        Arc::new(bind().await),
        bind().await,
        bind().await,
    );
    let (into, to) = (
        at.local_addr().expect("an address"),
        receiver.local_addr().expect("an address"),
    );
    let (faults, told) = watch::channel(Datagrams {
        repeated: 1.0,
        ..Datagrams::default()
    });
    let link = Link {
        net: net.clone(),
        from: 0,
        to: 1,
    };
    tokio::spawn(datagrams(at, out, to, link, told));
    let mut bytes = [0; 8];
    let mut heard = async || {
        timeout(LONG, receiver.recv(&mut bytes))
            .await
            .expect("in time")
            .map(|_| bytes[0])
    };
    sender.send_to(&[1], into).await.expect("it goes out");
    assert_eq!(
        [
            heard().await.expect("one"),
            heard().await.expect("its copy")
        ],
        [1, 1]
    );
    // What is lost or cut never comes: the next to come is the one after.
    faults.send_replace(Datagrams {
        lost: 1.0,
        ..Datagrams::default()
    });
    sender.send_to(&[2], into).await.expect("it goes out");
    read_up(into).await;
    faults.send_replace(Datagrams::default());
    net.cut(0, Way::Out, true);
    sender.send_to(&[3], into).await.expect("it goes out");
    read_up(into).await;
    net.cut(0, Way::Out, false);
    sender.send_to(&[4], into).await.expect("it goes out");
    assert_eq!(heard().await.expect("one"), 4);
}
