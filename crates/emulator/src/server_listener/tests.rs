//! Tests of `listener.rs`.

use super::*;
use crate::experiment::{Network, Way};
use crate::net::Net;
use crate::relay::join;
use std::net::{IpAddr, Ipv4Addr};
use tokio::io::{AsyncReadExt, AsyncWriteExt, split};

const LONG: Duration = Duration::from_secs(20);
const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// An echo behind a listener, in zone 1, for who dials in zone 0.
async fn echo() -> (SocketAddr, Net, watch::Sender<Incarnation>) {
    let net = Net::new(&Network::default());
    let (incarnation, lives) = watch::channel(Incarnation {
        up: true,
        number: 1,
    });
    let link = Link {
        net: net.clone(),
        from: 0,
        to: 1,
    };
    let listener = ServerListener::bind(HOST, lives.clone(), link.clone()).expect("a free port");
    let address = listener.address();
    tokio::spawn(listener.run(move |stream, number| {
        let (link, mut lives) = (link.clone(), lives.clone());
        let (near, far) = tokio::io::duplex(1024);
        tokio::spawn(async move {
            let (mut read, mut write) = split(far);
            let _ = tokio::io::copy(&mut read, &mut write).await;
            let _ = write.shutdown().await;
        });
        tokio::spawn(async move {
            let ended = async move {
                let _ = lives.wait_for(|l| !l.up || l.number != number).await;
            };
            join(stream, near, link, ended).await;
        });
    }));
    (address, net, incarnation)
}

async fn said(stream: &mut TcpStream, what: &[u8]) -> io::Result<Vec<u8>> {
    stream.write_all(what).await?;
    let mut back = vec![0; what.len()];
    stream.read_exact(&mut back).await?;
    Ok(back)
}

#[tokio::test]
async fn what_is_said_comes_back_and_a_close_is_passed_on() {
    let (address, _net, _life) = echo().await;
    let mut stream = TcpStream::connect(address).await.expect("it is up");
    assert_eq!(
        said(&mut stream, b"hello").await.expect("an echo"),
        b"hello"
    );
    stream.shutdown().await.expect("it closes");
    assert_eq!(stream.read(&mut [0; 8]).await.expect("a close"), 0);
}

#[tokio::test]
async fn a_cut_says_nothing_and_breaks_only_what_was_said_into_it() {
    let (address, net, _life) = echo().await;
    let (mut idle, mut busy) = (
        TcpStream::connect(address).await.expect("up"),
        TcpStream::connect(address).await.expect("up"),
    );
    for stream in [&mut idle, &mut busy] {
        said(stream, b"before").await.expect("an echo");
    }
    net.cut(1, Way::In, true);
    let into = timeout(Duration::from_millis(200), said(&mut busy, b"into")).await;
    assert!(into.is_err(), "something was said: {into:?}");
    // The listener hears of the cut in its own time; from then on nothing comes up.
    let comes_up = async || {
        timeout(Duration::from_millis(200), TcpStream::connect(address))
            .await
            .is_ok()
    };
    let mut tries = 0;
    while comes_up().await {
        tries += 1;
        assert!(tries < 50, "connections still come up");
    }
    net.cut(1, Way::In, false);
    assert!(
        timeout(LONG, busy.read(&mut [0; 1]))
            .await
            .expect("an end")
            .is_err(),
        "no reset"
    );
    assert_eq!(
        timeout(LONG, said(&mut idle, b"after"))
            .await
            .expect("an echo")
            .expect("an echo"),
        b"after"
    );
    let mut fresh = timeout(LONG, TcpStream::connect(address))
        .await
        .expect("in time")
        .expect("it is up");
    let mut echoed = said(&mut fresh, b"again").await;
    while echoed.is_err() {
        // It came into the queue while that was being cleared.
        fresh = timeout(LONG, TcpStream::connect(address))
            .await
            .expect("in time")
            .expect("it is up");
        echoed = said(&mut fresh, b"again").await;
    }
    assert_eq!(echoed.expect("an echo"), b"again");
}

#[tokio::test]
async fn a_process_that_ends_resets_and_refuses_until_it_is_back() {
    let (address, _net, incarnation) = echo().await;
    let mut stream = TcpStream::connect(address).await.expect("it is up");
    said(&mut stream, b"before").await.expect("an echo");
    incarnation.send_replace(Incarnation {
        up: false,
        number: 1,
    });
    assert!(
        timeout(LONG, stream.read(&mut [0; 1]))
            .await
            .expect("an end")
            .is_err(),
        "no reset"
    );
    while TcpStream::connect(address).await.is_ok() {}
    // Nobody else gets its port meanwhile: the system picks a free one as who does not allow reuse
    // asks for it.
    let other = TcpSocket::new_v4().expect("a socket");
    assert_eq!(
        other.bind(address).expect_err("it is kept").kind(),
        io::ErrorKind::AddrInUse
    );
    incarnation.send_replace(Incarnation {
        up: true,
        number: 2,
    });
    let mut back = loop {
        match TcpStream::connect(address).await {
            Ok(stream) => break stream,
            Err(_) => sleep(PAUSE).await,
        }
    };
    assert_eq!(said(&mut back, b"after").await.expect("an echo"), b"after");
}
