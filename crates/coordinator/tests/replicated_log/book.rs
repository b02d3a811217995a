//! The replicated state machine of these tests, and the single history that all replicas must
//! share.

use load_balancer_coordinator::replicated_log::Replicated;
use std::cell::RefCell;
use std::rc::Rc;

/// The orders committed anywhere, with their times.
#[derive(Default)]
pub struct SharedHistory {
    pub committed: Vec<(i64, u64)>,
    /// Corrupted messages were delivered, so the invariants no longer apply.
    pub corrupted: bool,
}

/// A state machine that records all orders.
pub struct RecordingMachine {
    pub history: Rc<RefCell<SharedHistory>>,
    pub orders: Vec<(i64, u64)>,
}

impl Replicated for RecordingMachine {
    fn apply(&mut self, at_ms: i64, event: &[u8]) -> Result<Vec<u8>, String> {
        let order = u64::from_le_bytes(event.try_into().map_err(|_| "no order".to_owned())?);
        if self.history.borrow().corrupted {
            return Ok(Vec::new());
        }
        assert!(
            self.orders
                .last()
                .is_none_or(|(before, _)| *before <= at_ms),
            "the time decreased"
        );
        let position = self.orders.len();
        self.orders.push((at_ms, order));
        let agreed = &mut self.history.borrow_mut().committed;
        match agreed.get(position) {
            Some(line) => assert_eq!(*line, (at_ms, order), "two histories at {position}"),
            None => agreed.push((at_ms, order)),
        }
        Ok((position as u64).to_le_bytes().to_vec())
    }

    fn snapshot(&self) -> Vec<u8> {
        self.orders
            .iter()
            .flat_map(|(at, order)| [at.to_le_bytes(), order.to_le_bytes()])
            .flatten()
            .collect()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let number = |b: &[u8]| u64::from_le_bytes(b.try_into().expect("eight bytes"));
        self.orders = snapshot
            .chunks(16)
            .map(|c| (number(&c[..8]) as i64, number(&c[8..])))
            .collect();
        let history = self.history.borrow();
        assert!(
            history.corrupted || history.committed.starts_with(&self.orders),
            "the snapshot contradicts the shared history"
        );
        Ok(())
    }
}
