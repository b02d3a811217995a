//! Whether a client may have left unnoticed.
//!
//! The end of a connection comes behind everything that was sent on it. If more has arrived than the
//! system buffers, the end stays with the client's system until that has been read, which waits for
//! the answer to the request before. No attempt may begin more than 0.1 s after a client has left.

use crate::client::Client;
use crate::messages::OutgoingRequest;
use std::future::poll_fn;
use std::mem::MaybeUninit;
use std::task::Poll;
use std::time::Duration;
use tokio::time::sleep;

/// With this much unread the system's buffer may be full: it takes at least 64 KiB of what arrives.
const MAX_UNREAD_BYTES: usize = 48 << 10;
/// How often it is checked while a request is being answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Whether so much is unread that the end of the connection may be hidden behind it.
pub fn may_have_left(client: &Client) -> bool {
    let mut bytes = [MaybeUninit::uninit(); MAX_UNREAD_BYTES];
    client.peek(&mut bytes) == MAX_UNREAD_BYTES
}

/// Waits until the client has left, while its request is being answered. No attempt of the request
/// begins while the client may have left unnoticed.
pub async fn wait_until_left(client: &Client, outgoing: &OutgoingRequest) {
    let check = async {
        loop {
            next_request_arrived(client).await;
            sleep(CHECK_INTERVAL).await;
            let may_have_left = client.has_partial_request() && may_have_left(client);
            outgoing.client_may_have_left.set(may_have_left);
        }
    };
    tokio::select! {
        biased;
        () = client.wait_until_closed() => {}
        () = check => {}
    }
}

/// Waits until the HTTP library holds bytes of the next request, up to which it reads while one is
/// being answered. It reads in the task that polls this, so that no other wake-up is needed.
async fn next_request_arrived(client: &Client) {
    poll_fn(|_| match client.has_partial_request() {
        true => Poll::Ready(()),
        false => Poll::Pending,
    })
    .await;
}
