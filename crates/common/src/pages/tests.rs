//! Tests of `pages.rs`.

use super::*;
use crate::units::Time;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

async fn read(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("it accepts");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("it reads");
    let mut text = String::new();
    // A connection that is closed with unread bytes may be reset.
    let _ = stream.read_to_string(&mut text).await;
    text
}

#[tokio::test]
async fn silent_readers_occupy_only_their_own_connection() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let at = listener.local_addr().expect("an address");
            let section = MetricsSection {
                readers: 2,
                timeout: Time::ms(300),
                ..MetricsSection::default()
            };
            let bounds = Limits::new(&section);
            let page = |ask: PageRequest| async move {
                (ask.path == "/metrics")
                    .then(|| Page::metrics(format!("a {}\n", ask.body.map_or(1, |b| b.len()))))
            };
            spawn_local(serve(listener, bounds.clone(), page));
            let get = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
            let mut silent = TcpStream::connect(at).await.expect("it accepts");
            assert!(read(at, get).await.ends_with("a 1\n"));
            assert!(
                read(at, "GET /else HTTP/1.1\r\nHost: a\r\n\r\n")
                    .await
                    .starts_with("HTTP/1.1 404 ")
            );
            assert!(
                read(at, "PUT /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
                    .await
                    .starts_with("HTTP/1.1 405 ")
            );
            let post = "POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n\r\n1234567";
            assert!(read(at, post).await.ends_with("a 7\n"));
            let long = "POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n";
            assert!(read(at, long).await.starts_with("HTTP/1.1 413 "));
            // Fewer than are connected: no new reader is accepted until the silent one's timeout.
            bounds.set(&MetricsSection {
                readers: 1,
                ..section
            });
            assert_eq!(read(at, get).await, "");
            assert_eq!(silent.read(&mut [0; 1]).await.expect("an end"), 0);
            assert!(read(at, get).await.ends_with("a 1\n"));
        })
        .await;
}
