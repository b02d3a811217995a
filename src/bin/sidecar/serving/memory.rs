//! The memory of a request and of its answer.

use crate::client::Client;
use crate::message_memory::Reservation;
use crate::message_size::MessageSize;
use bytes::Bytes;
use tokio::time::{Instant, timeout_at};

/// Reserves the memory of a request whose head has been read, unless it is small. A long head is
/// held already, so it does not wait.
///
/// # Errors
/// Returns an error if there is not enough by the deadline.
pub async fn reserve_request(
    client: &Client,
    size: MessageSize,
    deadline: Instant,
) -> Result<Option<Reservation>, OutOfMemory> {
    if size.is_small() {
        return Ok(None);
    }
    let share = client.memory();
    let reserved = if size.has_small_head() {
        timeout_at(deadline, share.reserve(size.bytes())).await.ok()
    } else {
        share.try_reserve(size.bytes())
    };
    let reservation = reserved.ok_or(OutOfMemory)?;
    client.set_request_memory(reservation.bytes());
    Ok(Some(reservation))
}

/// There is no memory for a request.
pub struct OutOfMemory;

/// A body that keeps its reservation until it has been written.
pub fn reserved_body(body: Bytes, memory: Option<Reservation>) -> Bytes {
    struct ReservedBody {
        body: Bytes,
        _memory: Reservation,
    }
    impl AsRef<[u8]> for ReservedBody {
        fn as_ref(&self) -> &[u8] {
            &self.body
        }
    }
    match memory {
        Some(_memory) => Bytes::from_owner(ReservedBody { body, _memory }),
        None => body,
    }
}
