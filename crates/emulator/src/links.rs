//! Joins connections between processes through the emulated network.

use crate::net::Net;
use crate::relay::{Link, join};
use crate::server_listener::{Incarnation, ServerListener};
use std::io;
use std::net::{IpAddr, SocketAddr};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Opens a way on that host, from a zone to a listener in another. It holds until its task is
/// ended.
///
/// # Errors
/// There is no socket.
pub fn open(
    host: IpAddr,
    net: &Net,
    (from, to): (usize, usize),
    target: SocketAddr,
) -> io::Result<(SocketAddr, AbortHandle)> {
    let link = Link {
        net: net.clone(),
        from,
        to,
    };
    // The listener behind it says itself whether it is there.
    let (alive, incarnation) = watch::channel(Incarnation {
        up: true,
        number: 1,
    });
    let listener = ServerListener::bind(host, incarnation, link.clone())?;
    let address = listener.address();
    let task = tokio::spawn(async move {
        let _alive = alive;
        listener
            .run(move |stream, _| {
                let link = link.clone();
                tokio::spawn(async move {
                    // Where nobody listens the connection is closed before anything is said.
                    if let Ok(server) = TcpStream::connect(target).await {
                        let _ = server.set_nodelay(true);
                        join(stream, server, link, std::future::pending()).await;
                    }
                });
            })
            .await;
    });
    Ok((address, task.abort_handle()))
}
