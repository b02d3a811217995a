//! How the descriptors of the process are shared out. Changes with who needs some.

use tokio::sync::Semaphore;

/// How many each side may hold.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to endpoints.
    pub upstream: usize,
}

impl Limits {
    /// Of so many descriptors some stay in reserve for discovery, peers, signals and accepting; of the rest
    /// both sides get half, as a request takes one on each.
    pub fn of(sockets: usize) -> Self {
        let each = ((sockets - sockets / 8).saturating_sub(16).max(2) / 2).min(Semaphore::MAX_PERMITS);
        Self { clients: each, upstream: each }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn descriptors_stay_in_reserve() {
        for sockets in [32, 256, 1024, 4096, usize::MAX] {
            let limits = Limits::of(sockets);
            assert!(limits.clients <= Semaphore::MAX_PERMITS, "{sockets}");
            assert!(limits.clients >= 1 && limits.clients + limits.upstream <= sockets - 16, "{sockets}");
        }
    }
}
