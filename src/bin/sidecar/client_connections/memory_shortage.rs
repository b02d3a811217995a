//! Closes connections that hold memory without progress while messages wait for it.

use super::{ClientConnections, OpenConnection};
use crate::eviction::{STALL_TIME, WaitingMessage, choose_for_memory};
use crate::log_throttle::suppressed_note;
use crate::refusal::Refusal;
use crate::report::say;
use std::rc::Rc;
use tokio::time::{Instant, sleep};

impl ClientConnections {
    /// Closes connections for messages that wait for memory. Runs forever.
    pub async fn relieve_shortages(self: Rc<Self>) {
        loop {
            let (message, bytes) = tokio::select! {
                biased;
                bytes = self.memory.requests.shortage() => (WaitingMessage::Request, bytes),
                bytes = self.memory.answers.shortage() => (WaitingMessage::Answer, bytes),
            };
            self.free_memory(message, bytes);
            // Those that were told to close do so meanwhile, and others stall.
            sleep(STALL_TIME).await;
        }
    }

    /// Tells connections to close that hold so much memory which a message waits for, if there are
    /// such connections.
    fn free_memory(&self, message: WaitingMessage, bytes: usize) {
        let open = self.open.borrow();
        let holders = open
            .iter()
            .filter(|(_, connection)| !connection.is_evicted())
            .map(|(id, connection)| {
                let client = &connection.client;
                (
                    *id,
                    client.occupancy(),
                    client.held_memory().for_message(message),
                )
            });
        for id in choose_for_memory(holders, bytes, Instant::now()) {
            let connection = &open[&id];
            let client = &connection.client;
            // The rest of its request may have arrived unnoticed.
            if !(client.occupancy().is_reading() && client.has_unread_bytes()) {
                self.evict_for_memory(connection, message, bytes);
            }
        }
    }

    fn evict_for_memory(
        &self,
        connection: &OpenConnection,
        message: WaitingMessage,
        waiting_bytes: usize,
    ) {
        let occupancy = self.evict(connection, Refusal::NoMemory);
        if let Some(suppressed) = self.memory_log.borrow_mut().allow(Instant::now()) {
            say!(
                warn,
                "sidecar::inbound",
                "memory for {} full: closed one connection ({}) as {} KiB are waited for{}",
                message.label(),
                occupancy.label(),
                waiting_bytes >> 10,
                suppressed_note(suppressed)
            );
        }
    }
}
