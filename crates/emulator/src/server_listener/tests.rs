//! Tests of `server_listener.rs`.

use super::*;
use crate::experiment::{Network, Way};
use crate::net::Net;
use crate::relay::relay;
use std::net::{IpAddr, Ipv4Addr};
use tokio::io::{AsyncReadExt, AsyncWriteExt, split};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Starts an echo server behind a listener, in zone 1, for clients in zone 0.
async fn start_echo() -> (SocketAddr, Net, watch::Sender<Incarnation>) {
    let net = Net::new(&Network::default());
    let (incarnation, incarnations) = watch::channel(Incarnation {
        is_up: true,
        number: 1,
    });
    let link = Link {
        net: net.clone(),
        from: 0,
        to: 1,
    };
    let listener =
        ServerListener::bind(HOST, incarnations.clone(), link.clone()).expect("a free port");
    let address = listener.address();
    tokio::spawn(listener.run(move |stream, number| {
        let (link, mut lives) = (link.clone(), incarnations.clone());
        let (near, far) = tokio::io::duplex(1024);
        tokio::spawn(async move {
            let (mut read, mut write) = split(far);
            let _ = tokio::io::copy(&mut read, &mut write).await;
            let _ = write.shutdown().await;
        });
        tokio::spawn(async move {
            let ended = async move {
                let _ = lives.wait_for(|l| !l.is_up || l.number != number).await;
            };
            relay(stream, near, link, ended).await;
        });
    }));
    (address, net, incarnation)
}

async fn echo(stream: &mut TcpStream, message: &[u8]) -> io::Result<Vec<u8>> {
    stream.write_all(message).await?;
    let mut received = vec![0; message.len()];
    stream.read_exact(&mut received).await?;
    Ok(received)
}

#[tokio::test]
async fn bytes_are_echoed_and_a_close_is_forwarded() {
    let (address, _net, _life) = start_echo().await;
    let mut stream = TcpStream::connect(address).await.expect("it is up");
    assert_eq!(
        echo(&mut stream, b"hello").await.expect("an echo"),
        b"hello"
    );
    stream.shutdown().await.expect("it closes");
    assert_eq!(stream.read(&mut [0; 8]).await.expect("a close"), 0);
}

#[tokio::test]
async fn a_partition_blocks_silently_and_breaks_only_connections_used_during_it() {
    let (address, net, _life) = start_echo().await;
    let (mut idle, mut busy) = (
        TcpStream::connect(address).await.expect("up"),
        TcpStream::connect(address).await.expect("up"),
    );
    for stream in [&mut idle, &mut busy] {
        echo(stream, b"before").await.expect("an echo");
    }
    net.set_partition(1, Way::In, true);
    let during_partition = timeout(Duration::from_millis(200), echo(&mut busy, b"into")).await;
    assert!(
        during_partition.is_err(),
        "something was said: {during_partition:?}"
    );
    // The listener notices the partition asynchronously; after that no connection is established.
    let can_connect = async || {
        timeout(Duration::from_millis(200), TcpStream::connect(address))
            .await
            .is_ok()
    };
    let mut tries = 0;
    while can_connect().await {
        tries += 1;
        assert!(tries < 50, "connections still come up");
    }
    net.set_partition(1, Way::In, false);
    assert!(
        timeout(TEST_TIMEOUT, busy.read(&mut [0; 1]))
            .await
            .expect("an end")
            .is_err(),
        "no reset"
    );
    assert_eq!(
        timeout(TEST_TIMEOUT, echo(&mut idle, b"after"))
            .await
            .expect("an echo")
            .expect("an echo"),
        b"after"
    );
    let mut new_stream = timeout(TEST_TIMEOUT, TcpStream::connect(address))
        .await
        .expect("in time")
        .expect("it is up");
    let mut echoed = echo(&mut new_stream, b"again").await;
    while echoed.is_err() {
        // The connection was queued while the backlog was being cleared.
        new_stream = timeout(TEST_TIMEOUT, TcpStream::connect(address))
            .await
            .expect("in time")
            .expect("it is up");
        echoed = echo(&mut new_stream, b"again").await;
    }
    assert_eq!(echoed.expect("an echo"), b"again");
}

#[tokio::test]
async fn a_stopped_process_resets_and_refuses_connections_until_it_restarts() {
    let (address, _net, incarnation) = start_echo().await;
    let mut stream = TcpStream::connect(address).await.expect("it is up");
    echo(&mut stream, b"before").await.expect("an echo");
    incarnation.send_replace(Incarnation {
        is_up: false,
        number: 1,
    });
    assert!(
        timeout(TEST_TIMEOUT, stream.read(&mut [0; 1]))
            .await
            .expect("an end")
            .is_err(),
        "no reset"
    );
    while TcpStream::connect(address).await.is_ok() {}
    // The port stays reserved: the system picks a free one for a process that does not set reuse.
    let other = TcpSocket::new_v4().expect("a socket");
    assert_eq!(
        other.bind(address).expect_err("it is kept").kind(),
        io::ErrorKind::AddrInUse
    );
    incarnation.send_replace(Incarnation {
        is_up: true,
        number: 2,
    });
    let mut restarted = loop {
        match TcpStream::connect(address).await {
            Ok(stream) => break stream,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    };
    assert_eq!(
        echo(&mut restarted, b"after").await.expect("an echo"),
        b"after"
    );
}
