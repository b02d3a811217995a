//! Links between processes through the emulated network.

use crate::net::Net;
use crate::relay::{Link, relay};
use crate::server_listener::{Incarnation, ServerListener};
use std::io;
use std::net::{IpAddr, SocketAddr};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Opens a link on that host, from a zone to a listener in another one. It stays open until its
/// task is aborted.
///
/// # Errors
/// No socket could be created.
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
    // The target itself tells whether it runs.
    let (alive, incarnation) = watch::channel(Incarnation {
        is_up: true,
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
                    // Without a listener at the target, the connection is closed without a byte.
                    if let Ok(server) = TcpStream::connect(target).await {
                        let _ = server.set_nodelay(true);
                        relay(stream, server, link, std::future::pending()).await;
                    }
                });
            })
            .await;
    });
    Ok((address, task.abort_handle()))
}
